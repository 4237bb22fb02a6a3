package claimer

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// ticketPrefix is the prefix of every ticket. It is reserved: callers must not
// use it for keys of their own.
const ticketPrefix = "tk1."

// DefaultTicketLifetime is the time within which a [Ticket] must first be used.
const DefaultTicketLifetime = 10 * time.Minute

// Ticket is an idempotency key that names the only agent incarnation that may
// start the call. The caller fetches it before the call. The agent refuses a
// ticket that has expired or that expires later than the usual lifetime allows,
// so a ticket forged by a caller does no harm.
type Ticket struct {
	Daemon      banyanplank.DaemonID
	Incarnation banyanplank.Incarnation
	// Expiry is the expiry time, in whole seconds.
	Expiry time.Time
	// Nonce distinguishes the tickets of one agent incarnation.
	Nonce string
}

// IsTicket reports whether an idempotency key has the prefix of a ticket. The
// rest of the key is not validated.
func IsTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// String returns the ticket as an idempotency key.
func (t Ticket) String() string {
	return ticketPrefix + strings.Join([]string{
		base64.RawURLEncoding.EncodeToString([]byte(t.Daemon)),
		strconv.FormatUint(uint64(t.Incarnation), 36),
		strconv.FormatInt(t.Expiry.Unix(), 36),
		t.Nonce,
	}, ".")
}

// ParseTicket parses the format of [Ticket.String].
func ParseTicket(key string) (ticket Ticket, err error) {
	defer func() { err = errors.Wrap(err, "parse ticket") }()
	fields := strings.Split(strings.TrimPrefix(key, ticketPrefix), ".")
	if !IsTicket(key) || len(fields) != 4 {
		return ticket, errors.New("not of the form tk1.daemon.incarnation.until.nonce")
	}
	daemon, err := base64.RawURLEncoding.DecodeString(fields[0])
	if err != nil {
		return ticket, err
	}
	incarnation, err := strconv.ParseUint(fields[1], 36, 64)
	if err != nil {
		return ticket, err
	}
	expiry, err := strconv.ParseInt(fields[2], 36, 64)
	if err != nil {
		return ticket, err
	}
	return Ticket{
		Daemon:      banyanplank.DaemonID(daemon),
		Incarnation: banyanplank.Incarnation(incarnation),
		Expiry:      time.Unix(expiry, 0).UTC(),
		Nonce:       fields[3],
	}, nil
}

// Binding returns the binding that the ticket carries. A ticket has only one
// generation: after its binding is released, it cannot be used again.
func (t Ticket) Binding(call banyanplank.Digest) (binding banyanplank.Binding) {
	return banyanplank.Binding{
		Daemon:        t.Daemon,
		Incarnation:   t.Incarnation,
		Generation:    1,
		Call:          call,
		StartDeadline: t.Expiry,
	}
}

// uuidTime returns the timestamp of a key that is a version 7 UUID (RFC 9562).
func uuidTime(key string) (date time.Time, ok bool) {
	const length, version = 36, 14
	if len(key) != length || key[version] != '7' {
		return date, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 {
		return date, false
	}
	millis := binary.BigEndian.Uint64(raw) >> 16
	return time.UnixMilli(int64(millis)), true
}
