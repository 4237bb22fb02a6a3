package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/banyanplank/banyanplank"
)

// The names of the objects in the platform's object API.
const (
	configurationObject = "configuration"
	memberPrefix        = "members/"
)

const (
	// spreadInterval is the time between two looks at the object API.
	spreadInterval = time.Second
	// keepEntries is how long callers may keep the answer of GET /v1/entries.
	keepEntries = 5 * time.Second
)

// registry is what the daemon knows of its peers.
type registry struct {
	members []banyanplank.Member
}

// spread announces the daemon and follows the configuration and the members
// until ctx ends.
func (d *Daemon) spread(ctx context.Context) (err error) {
	ticker := time.NewTicker(spreadInterval)
	defer ticker.Stop()
	announced := false
	for {
		if !announced {
			announced = d.announce(ctx) == nil
		}
		if err := d.refresh(ctx); err != nil && ctx.Err() == nil {
			d.logger.Warn().Err(err).Msg("refresh_failed")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// announce writes the daemon's own member object.
func (d *Daemon) announce(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "announce member") }()
	value, err := json.Marshal(d.member)
	if err != nil {
		return err
	}
	name := memberPrefix + string(d.member.ID)
	held, err := d.store.Get(ctx, name)
	if err != nil && !errors.Is(err, banyanplank.ErrNotFound) {
		return err
	}
	_, err = d.store.Put(ctx, name, value, held.Version)
	return err
}

// leave tells the peers that the daemon is leaving.
func (d *Daemon) leave(ctx context.Context) {
	d.member.State = banyanplank.MemberLeaving
	if err := d.announce(ctx); err != nil {
		d.logger.Warn().Err(err).Msg("leave_failed")
	}
}

// refresh reads the configuration and the members and hands them to the role.
func (d *Daemon) refresh(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "refresh") }()
	object, err := d.store.Get(ctx, configurationObject)
	if err != nil {
		return err
	}
	var configuration banyanplank.Configuration
	if err := toml.Unmarshal(object.Value, &configuration); err != nil {
		return err
	}
	configuration.Revision = banyanplank.Revision(object.Version)
	if d.keeper.Set(&configuration) {
		d.logger.Info().Uint64("revision", uint64(configuration.Revision)).Msg("configured")
	}
	objects, err := d.store.List(ctx, memberPrefix)
	if err != nil {
		return err
	}
	members, err := decodeMembers(objects)
	if err != nil {
		return err
	}
	d.known.Store(&registry{members: members})
	d.role.renew(time.Now(), members)
	return nil
}

func decodeMembers(objects []banyanplank.Object) (members []banyanplank.Member, err error) {
	for _, object := range objects {
		var member banyanplank.Member
		if err := json.Unmarshal(object.Value, &member); err != nil {
			return nil, err
		}
		members = append(members, member)
	}
	return members, nil
}

// members returns the daemons that this one knows.
func (d *Daemon) members() (members []banyanplank.Member) {
	if known := d.known.Load(); known != nil {
		return known.members
	}
	return nil
}

// Advertise implements [receiver.Advertiser] with all entries that serve.
func (d *Daemon) Advertise(_ string) (entries []banyanplank.Member, keep time.Duration) {
	view := d.keeper.View()
	for _, m := range d.members() {
		if m.Role == banyanplank.RoleEntry && m.State == banyanplank.MemberLive && !view.IsZoneOut(m.Zone) {
			entries = append(entries, m)
		}
	}
	return entries, keepEntries
}
