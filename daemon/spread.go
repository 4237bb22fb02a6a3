package daemon

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/advertiser"
	"github.com/banyanplank/banyanplank/coordination/spreader"
	"github.com/banyanplank/banyanplank/protocol/gossiper"
)

// memberPrefix is the name prefix of the member objects, through which starting
// daemons find each other.
const memberPrefix = "members/"

const (
	// announceRetryInterval is the interval between attempts to announce the
	// daemon.
	announceRetryInterval = time.Second
	// statusLogInterval is the interval at which the status is checked for changes
	// to log.
	statusLogInterval = time.Second
	// entryListTTL is how long callers may cache the answer of GET /v1/entries.
	entryListTTL = advertiser.DefaultTTL
)

// assembleSpreader builds the spreader, which keeps the configuration and the
// members up to date, and registers its service with the listener.
func (d *Daemon) assembleSpreader() (err error) {
	model := spreader.NewModel(time.Now(), d.member, spreader.NewRandom(d.member), spreader.WithSeeds(d.settings.Peers))
	transport := gossiper.NewTransport(func(ctx context.Context, address netip.AddrPort) drpc.Conn {
		return d.dialer.Conn(ctx, address)
	})
	executor := spreader.NewExecutor(transport, d.store, d.instances)
	d.spreader = spreader.New(model, executor, spreader.WithOnChange(d.applySnapshot))
	return gossiper.Register(d.listener.Mux(), d.spreader)
}

// applySnapshot applies the snapshot's configuration and members to the keeper,
// the group lease and the role.
func (d *Daemon) applySnapshot(snapshot *spreader.Snapshot) {
	if snapshot.Configuration == nil {
		return
	}
	if d.keeper.Set(snapshot.Configuration) {
		d.logger.Info().Uint64("revision", uint64(snapshot.Configuration.Revision)).Msg("configured")
	}
	if lease, ok := d.groupLease.(groupLease); ok {
		lease.updateCandidacy(d.member, snapshot.Members)
	}
	d.role.reconfigure(time.Now(), snapshot.Members)
}

// runSpreader announces the daemon and tracks the configuration and the members
// until ctx is canceled.
func (d *Daemon) runSpreader(ctx context.Context) (err error) {
	d.background.Go(func() { d.announce(ctx) })
	d.background.Go(func() { d.logStatusChanges(ctx) })
	defer d.background.Wait()
	return d.spreader.Run(ctx)
}

// announce writes the daemon's member object and reads those of other daemons,
// so that daemons find each other at startup. It retries until it succeeds or ctx
// is canceled.
func (d *Daemon) announce(ctx context.Context) {
	ticker := time.NewTicker(announceRetryInterval)
	defer ticker.Stop()
	for {
		err := d.exchangeMemberObjects(ctx)
		if err == nil {
			return
		}
		d.logger.Warn().Err(err).Msg("announce_failed")
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) exchangeMemberObjects(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "announce member") }()
	value, err := json.Marshal(d.member)
	if err != nil {
		return err
	}
	name := memberPrefix + string(d.member.ID)
	stored, err := d.store.Get(ctx, name)
	if err != nil && !errors.Is(err, banyanplank.ErrNotFound) {
		return err
	}
	if _, err = d.store.Put(ctx, name, value, stored.Version); err != nil {
		return err
	}
	objects, err := d.store.List(ctx, memberPrefix)
	if err != nil {
		return err
	}
	d.spreader.AddSeeds(ctx, peerAddresses(objects))
	return nil
}

// peerAddresses returns the valid peer addresses in the member objects. It skips
// objects that it cannot decode.
func peerAddresses(objects []banyanplank.Object) (addresses []netip.AddrPort) {
	for _, object := range objects {
		var member banyanplank.Member
		if json.Unmarshal(object.Value, &member) == nil && member.PeerAddress.IsValid() {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	return addresses
}

// logStatusChanges logs each change of the daemon's [spreader.Status] until ctx is
// canceled.
func (d *Daemon) logStatusChanges(ctx context.Context) {
	ticker := time.NewTicker(statusLogInterval)
	defer ticker.Stop()
	var last spreader.Status
	for {
		status := d.spreader.Snapshot().Status(time.Now())
		if status != last {
			d.logger.Info().Str("status", string(status)).Msg("news")
			last = status
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// leaveMembership tells the peers that the daemon is leaving and deletes its
// member object.
func (d *Daemon) leaveMembership(ctx context.Context) {
	d.spreader.Leave(ctx)
	name := memberPrefix + string(d.member.ID)
	stored, err := d.store.Get(ctx, name)
	if err == nil {
		err = d.store.Delete(ctx, name, stored.Version)
	}
	if err != nil && !errors.Is(err, banyanplank.ErrNotFound) {
		d.logger.Warn().Err(err).Msg("leave_failed")
	}
}

// canAdmit reports whether the configuration is current enough at now for the
// daemon to admit new requests.
func (d *Daemon) canAdmit(now time.Time) (admit bool) {
	return d.spreader.Snapshot().Serves(now)
}

// members returns the known daemons, including this one.
func (d *Daemon) members() (members []banyanplank.Member) {
	return d.spreader.Snapshot().Members
}

// Advertise implements [receiver.Advertiser].
func (d *Daemon) Advertise(name string) (entries []banyanplank.Member, ttl time.Duration) {
	a := advertiser.New(advertiser.WithTTL(entryListTTL))
	return a.Advertise(name, d.members(), d.keeper.View().IsZoneOut), a.TTL()
}
