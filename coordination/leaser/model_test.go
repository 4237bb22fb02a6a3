package leaser_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/leaser"
)

// acquireLease returns a model that holds the lease at version, and the time.
func acquireLease(is *is.I, version banyanplank.Version) (m *leaser.Model, now time.Time) {
	is.Helper()
	now = time.Unix(1_800_000_000, 0)
	m = leaser.NewModel(banyanplank.Member{ID: "agent-0", Incarnation: 1})
	is.Equal(tick(m, now), []banyanplank.Command{leaser.ReadCmd{}})
	_, commands := m.Update(now, leaser.ReadResultMsg{})
	write := commands[0].(leaser.WriteCmd)
	m.Update(now, leaser.WriteResultMsg{Command: write, Sent: now, Position: banyanplank.Position{Revision: version}})
	is.True(m.Lease().IsHeld(now))
	return m, now
}

func tick(m *leaser.Model, now time.Time) (commands []banyanplank.Command) {
	_, commands = m.Update(now, banyanplank.TickMsg{})
	return commands
}

// TestLeaseSurvivesPanicInCall guards against a lease that is never renewed or taken again
// because a call to the store panicked.
func TestLeaseSurvivesPanicInCall(t *testing.T) {
	for name, inWrite := range map[string]bool{"read": false, "write": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, now := acquireLease(is, 5)
			now = now.Add(leaser.RenewInterval)
			command := tick(m, now)[0]
			if !inWrite {
				m.Update(now, leaser.WriteResultMsg{Command: command.(leaser.WriteCmd), Sent: now, Err: banyanplank.ErrConflict})
				command = tick(m, now)[0]
				is.Equal(command, leaser.ReadCmd{})
			}
			m.Update(now, banyanplank.PanicMsg{Command: command, Err: errors.New("nil map")})
			is.Equal(len(tick(m, now)), 0)
			is.Equal(tick(m, now.Add(leaser.RetryInterval)), []banyanplank.Command{leaser.ReadCmd{}})
		})
	}
}

// TestDeletedLeaseIsTakenAgain guards against a holder whose renewals conflict for good
// because its lease was deleted, and against a fencing number that is used again.
func TestDeletedLeaseIsTakenAgain(t *testing.T) {
	is := is.New(t)
	m, now := acquireLease(is, 5)
	fence := m.Lease().Fence
	now = now.Add(leaser.RenewInterval)
	write := tick(m, now)[0].(leaser.WriteCmd)
	m.Update(now, leaser.WriteResultMsg{Command: write, Sent: now, Err: banyanplank.ErrConflict})
	is.Equal(tick(m, now), []banyanplank.Command{leaser.ReadCmd{}})
	_, commands := m.Update(now, leaser.ReadResultMsg{})
	write = commands[0].(leaser.WriteCmd)
	is.Equal(write.Expect, banyanplank.Version(0))
	var stored struct {
		Fence uint64 `json:"fence"`
	}
	is.NoErr(json.Unmarshal(write.Value, &stored))
	is.True(stored.Fence > fence)
}

// TestUnreadableLeaseIsNotTaken guards against a fencing number that starts anew because the
// stored one can't be read.
func TestUnreadableLeaseIsNotTaken(t *testing.T) {
	is := is.New(t)
	m := leaser.NewModel(banyanplank.Member{ID: "agent-0", Incarnation: 1})
	now := time.Unix(1_800_000_000, 0)
	for range 10 {
		is.Equal(tick(m, now), []banyanplank.Command{leaser.ReadCmd{}})
		_, commands := m.Update(now, leaser.ReadResultMsg{Object: banyanplank.Object{Version: 5, Value: []byte(`{"fence":"12"`)}})
		is.Equal(len(commands), 0)
		now = now.Add(leaser.LeaseDuration)
	}
}

// record returns the stored value of a lease.
func record(holder banyanplank.DaemonID, incarnation banyanplank.Incarnation, fence uint64) (value []byte) {
	value, _ = json.Marshal(map[string]any{"holder": holder, "incarnation": incarnation, "fence": fence, "count": 7})
	return value
}

// fenceOf returns the fencing number that a command writes.
func fenceOf(is *is.I, command banyanplank.Command) (fence uint64) {
	is.Helper()
	var stored struct {
		Fence uint64 `json:"fence"`
	}
	is.NoErr(json.Unmarshal(command.(leaser.WriteCmd).Value, &stored))
	return stored.Fence
}

// TestCandidateWaitsInNewEra guards against a lease that is taken while a holder that the store
// forgot still acts, whatever the copy shows, and against its fencing number given out again.
func TestCandidateWaitsInNewEra(t *testing.T) {
	const before = 1<<32 + 9
	copies := map[string]banyanplank.Object{
		"no record":              {},
		"another holder":         {Version: 3, Value: record("agent-1", 1, before)},
		"released":               {Version: 3, Value: record("", 0, before)},
		"own record":             {Version: 3, Value: record("agent-0", 1, 1<<32+1)},
		"earlier process":        {Version: 3, Value: record("agent-0", 0, before)},
		"before eras were named": {Version: 3, Value: record("agent-1", 1, 4)},
		"same version as known":  {Version: 5, Value: record("agent-1", 1, before)},
	}
	for name, object := range copies {
		for known, start := range map[string]func(is *is.I) (m *leaser.Model, now time.Time){
			"started then": func(*is.I) (*leaser.Model, time.Time) {
				return leaser.NewModel(banyanplank.Member{ID: "agent-0", Incarnation: 1}), time.Unix(1_800_000_000, 0)
			},
			"held it before": func(is *is.I) (*leaser.Model, time.Time) { return acquireLease(is, 5) },
		} {
			t.Run(name+", "+known, func(t *testing.T) {
				is := is.New(t)
				m, now := start(is)
				held := m.Lease()
				object.Era = 2
				if held.IsHeld(now) { // a lost reply makes the holder read
					write := tick(m, now.Add(leaser.RenewInterval))[0].(leaser.WriteCmd)
					m.Update(now, leaser.WriteResultMsg{Command: write, Sent: now, Err: banyanplank.ErrConflict})
				}
				is.Equal(tick(m, now), []banyanplank.Command{leaser.ReadCmd{}})
				_, commands := m.Update(now, leaser.ReadResultMsg{Object: object})
				is.Equal(len(commands), 0)
				is.True(!m.Lease().IsHeld(now))
				for end := now.Add(leaser.LeaseDuration - time.Millisecond); now.Before(end); {
					if now = now.Add(leaser.RenewInterval); !now.Before(end) {
						now = end
					}
					if len(tick(m, now)) > 0 {
						_, commands = m.Update(now, leaser.ReadResultMsg{Object: object})
						is.Equal(len(commands), 0)
					}
				}
				now = now.Add(time.Millisecond) // not at the next regular read
				is.Equal(tick(m, now), []banyanplank.Command{leaser.ReadCmd{}})
				_, commands = m.Update(now, leaser.ReadResultMsg{Object: object})
				is.Equal(commands[0].(leaser.WriteCmd).Expect, object.Version)
				is.Equal(fenceOf(is, commands[0]), uint64(2<<32+1))
				m.Update(now, leaser.WriteResultMsg{Command: commands[0].(leaser.WriteCmd), Sent: now, Position: banyanplank.Position{Era: 2, Revision: 5}})
				is.True(m.Lease().IsHeld(now))
				now = now.Add(leaser.RenewInterval)
				is.Equal(fenceOf(is, tick(m, now)[0]), uint64(2<<32+1)) // kept within the era
			})
		}
	}
}

// TestRecordOfSameEraIsTakenAtOnce guards against a wait for the takeover time after each release
// and each restart of a holder, although the record shows that the store has it since the return.
func TestRecordOfSameEraIsTakenAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		value []byte
		fence uint64
	}{
		"released": {record("", 0, 2<<32+4), 2<<32 + 5},
		"own":      {record("agent-0", 1, 2<<32+4), 2<<32 + 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := leaser.NewModel(banyanplank.Member{ID: "agent-0", Incarnation: 1})
			now := time.Unix(1_800_000_000, 0)
			tick(m, now)
			_, commands := m.Update(now, leaser.ReadResultMsg{Object: banyanplank.Object{Version: 3, Era: 2, Value: test.value}})
			is.Equal(fenceOf(is, commands[0]), test.fence)
		})
	}
}

// TestRenewalInNewEraEndsLease guards against a holder that goes on because the copy has the
// record that it renews, while another one that the store forgot acts.
func TestRenewalInNewEraEndsLease(t *testing.T) {
	is := is.New(t)
	m, now := acquireLease(is, 5)
	now = now.Add(leaser.RenewInterval)
	write := tick(m, now)[0].(leaser.WriteCmd)
	m.Update(now, leaser.WriteResultMsg{Command: write, Sent: now, Position: banyanplank.Position{Era: 1, Revision: 6}})
	is.True(!m.Lease().IsHeld(now))
	now = now.Add(leaser.RenewInterval)
	is.Equal(tick(m, now), []banyanplank.Command{leaser.ReadCmd{}})
	_, commands := m.Update(now, leaser.ReadResultMsg{Object: banyanplank.Object{Version: 6, Era: 1, Value: write.Value}})
	is.Equal(len(commands), 0)
	is.True(!m.Lease().IsHeld(now))
}

// TestLateResponseOfEarlierEraIsDropped guards against a record or a write that the store has lost
// since, and that arrives late.
func TestLateResponseOfEarlierEraIsDropped(t *testing.T) {
	for name, isRead := range map[string]bool{"read": true, "write": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := leaser.NewModel(banyanplank.Member{ID: "agent-0", Incarnation: 1})
			now := time.Unix(1_800_000_000, 0)
			tick(m, now)
			m.Update(now, leaser.ReadResultMsg{Object: banyanplank.Object{Version: 3, Era: 2, Value: record("agent-1", 1, 2<<32+1)}})
			late := leaser.ReadResultMsg{Object: banyanplank.Object{Version: 9, Era: 1, Value: record("", 0, 1<<32+5)}}
			if now = now.Add(leaser.RenewInterval); isRead {
				tick(m, now)
				_, commands := m.Update(now, late)
				is.Equal(len(commands), 0)
			} else {
				m.Update(now, leaser.WriteResultMsg{
					Command: leaser.WriteCmd{Value: record("agent-0", 1, 1<<32+6)}, Sent: now, Position: banyanplank.Position{Era: 1, Revision: 9},
				})
			}
			is.True(!m.Lease().IsHeld(now))
			now = now.Add(leaser.LeaseDuration)
			is.Equal(tick(m, now), []banyanplank.Command{leaser.ReadCmd{}})
			_, commands := m.Update(now, leaser.ReadResultMsg{Object: banyanplank.Object{Version: 3, Era: 2, Value: record("agent-1", 1, 2<<32+1)}})
			is.Equal(commands[0].(leaser.WriteCmd).Expect, banyanplank.Version(3)) // unchanged since
			is.Equal(fenceOf(is, commands[0]), uint64(2<<32+2))
		})
	}
}

// TestFencingNumberExceedsAllKnown guards against a fencing number that is given out again after a
// record with a higher one was overwritten.
func TestFencingNumberExceedsAllKnown(t *testing.T) {
	is := is.New(t)
	m := leaser.NewModel(banyanplank.Member{ID: "agent-0", Incarnation: 1})
	now := time.Unix(1_800_000_000, 0)
	tick(m, now)
	m.Update(now, leaser.ReadResultMsg{Object: banyanplank.Object{Version: 3, Era: 2, Value: record("agent-1", 1, 2<<32+7)}})
	now = now.Add(leaser.RenewInterval)
	tick(m, now)
	_, commands := m.Update(now, leaser.ReadResultMsg{Object: banyanplank.Object{Version: 4, Era: 2, Value: record("", 0, 2<<32+1)}})
	is.Equal(fenceOf(is, commands[0]), uint64(2<<32+8))
}

// TestReleaseInNewEraIsNotWritten guards against a release of a lease that the store has lost,
// which makes the next holder wait anew.
func TestReleaseInNewEraIsNotWritten(t *testing.T) {
	is := is.New(t)
	m, now := acquireLease(is, 5)
	now = now.Add(leaser.RenewInterval)
	write := tick(m, now)[0].(leaser.WriteCmd)
	_, commands := m.Update(now, leaser.ReleaseMsg{})
	is.Equal(len(commands), 0)
	_, commands = m.Update(now, leaser.WriteResultMsg{Command: write, Sent: now, Position: banyanplank.Position{Era: 1, Revision: 6}})
	is.Equal(len(commands), 0)
}

// TestReleaseDuringReadIsWritten guards against a release that is forgotten, and then made when
// the daemon holds the lease again, because a read was in flight.
func TestReleaseDuringReadIsWritten(t *testing.T) {
	is := is.New(t)
	m, now := acquireLease(is, 5)
	now = now.Add(leaser.RenewInterval)
	write := tick(m, now)[0].(leaser.WriteCmd)
	m.Update(now, leaser.WriteResultMsg{Command: write, Sent: now, Err: banyanplank.ErrUncertain})
	now = now.Add(leaser.RetryInterval)
	is.Equal(tick(m, now), []banyanplank.Command{leaser.ReadCmd{}})
	_, commands := m.Update(now, leaser.ReleaseMsg{Resume: now.Add(leaser.LeaseDuration)})
	is.Equal(len(commands), 0)
	_, commands = m.Update(now, leaser.ReadResultMsg{Object: banyanplank.Object{Version: 6, Value: write.Value}})
	is.Equal(len(commands), 1)
	is.Equal(commands[0].(leaser.WriteCmd).Expect, banyanplank.Version(6))
}
