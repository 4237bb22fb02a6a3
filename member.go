package banyanplank

import "net/netip"

// Role tells what a daemon does.
type Role string

// The roles of a daemon.
const (
	// RoleEntry accepts calls from callers and picks an endpoint for each.
	RoleEntry Role = "entry"
	// RoleAgent stands beside one endpoint and is the only process that talks to it.
	RoleAgent Role = "agent"
)

// MemberState tells how far a daemon may be relied on.
type MemberState uint8

// The states of a member, in the order in which they supersede each other
// within one incarnation.
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

// Member describes one daemon as its peers know it.
type Member struct {
	ID          DaemonID
	Incarnation Incarnation
	Role        Role
	State       MemberState
	Instance    InstanceID
	Zone        Zone
	// Peer is the address for the daemons' own protocol.
	Peer netip.AddrPort
	// Caller is the address that callers connect to. Only entries have one.
	Caller netip.AddrPort
	// Service is what the endpoint beside an agent serves.
	Service ServiceName
	// Group and Rank place the endpoint in a group of ranks. Group is empty
	// for an endpoint that works alone.
	Group GroupName
	Rank  int
}
