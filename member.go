package banyanplank

import "net/netip"

// Role is the function of a daemon.
type Role string

// The roles of a daemon.
const (
	// RoleEntry accepts calls from callers and picks an endpoint for each.
	RoleEntry Role = "entry"
	// RoleAgent runs beside one endpoint and is the only process that sends it
	// requests.
	RoleAgent Role = "agent"
)

// MemberState is the liveness of a daemon.
type MemberState uint8

// The states of a member. Within one incarnation, a later state supersedes an
// earlier one.
const (
	MemberLive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberGone
)

// String returns the lower-case name of the state.
func (s MemberState) String() string {
	switch s {
	case MemberLive:
		return "live"
	case MemberSuspect:
		return "suspect"
	case MemberLeaving:
		return "leaving"
	case MemberGone:
		return "gone"
	default:
		return "unknown"
	}
}

// Member describes a daemon to its peers.
type Member struct {
	ID          DaemonID
	Incarnation Incarnation
	Role        Role
	State       MemberState
	Instance    InstanceID
	Zone        Zone
	// PeerAddress is the address of the protocol between daemons.
	PeerAddress netip.AddrPort `json:"Peer"`
	// CallerAddress is the address that callers connect to. Only entries have one.
	CallerAddress netip.AddrPort `json:"Caller"`
	// Service is the service of the endpoint beside an agent.
	Service ServiceName
	// Group and Rank locate the endpoint in a group of ranks. Group is empty
	// for an endpoint outside of a group.
	Group GroupName
	Rank  int
}
