package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/accepter"
	"github.com/banyanplank/banyanplank/daemon"
	"github.com/banyanplank/banyanplank/standin/engine"
	"github.com/banyanplank/banyanplank/standin/loopback"
	"github.com/banyanplank/banyanplank/standin/platform"
	"github.com/banyanplank/banyanplank/state/loader"
)

// accountKey is the secret key of the client account.
const accountKey = "local-key"

var zones = []banyanplank.Zone{"north", "south"}

// enginesPerZone is the number of engines per zone, each with its own agent.
const enginesPerZone = 2

// fleet holds the platform, the engines and the daemons of the example.
type fleet struct {
	platform    *platform.Platform
	engines     map[banyanplank.Zone][]*engine.Engine
	entries     map[banyanplank.Zone]netip.AddrPort
	admins      []netip.AddrPort
	daemonGroup *pool.ContextPool
	stopDaemons context.CancelFunc
	stopEngines context.CancelFunc
	engineGroup *pool.ContextPool
}

// startFleet submits the configuration and starts the engines, agents and
// entries of all zones.
func startFleet(ctx context.Context) (f *fleet, err error) {
	daemons, stopDaemons := context.WithCancel(ctx)
	engines, stopEngines := context.WithCancel(ctx)
	f = &fleet{
		platform:    platform.New(),
		engines:     make(map[banyanplank.Zone][]*engine.Engine),
		entries:     make(map[banyanplank.Zone]netip.AddrPort),
		daemonGroup: pool.New().WithContext(daemons).WithFirstError(),
		stopDaemons: stopDaemons,
		engineGroup: pool.New().WithContext(engines).WithFirstError(),
		stopEngines: stopEngines,
	}
	if err := f.configure(ctx, nil); err != nil {
		return nil, err
	}
	for _, zone := range zones {
		if err := f.startZone(zone); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// configure submits the configuration with the disabled zones out of service.
func (f *fleet) configure(ctx context.Context, disabled []banyanplank.Zone) (err error) {
	digest := sha256.Sum256([]byte(accountKey))
	configuration := banyanplank.Configuration{
		Services: []banyanplank.ServiceSpec{{Name: "guide", Kind: banyanplank.ServiceModel}},
		Accounts: []banyanplank.AccountSpec{{Name: "trekkers", KeyDigest: hex.EncodeToString(digest[:])}},
	}
	for _, zone := range zones {
		spec := banyanplank.ZoneSpec{Name: zone, Region: "local"}
		for _, name := range disabled {
			spec.Out = spec.Out || name == zone
		}
		configuration.Zones = append(configuration.Zones, spec)
	}
	configurations := accepter.New(f.platform)
	current, err := configurations.Current(ctx)
	if err != nil {
		return err
	}
	_, err = configurations.Accept(ctx, current.Revision, &configuration)
	return err
}

// startZone starts the agents and the entry of a zone.
func (f *fleet) startZone(zone banyanplank.Zone) (err error) {
	for i := range enginesPerZone {
		if err := f.startAgent(zone, i); err != nil {
			return err
		}
	}
	caller, err := loopback.Address()
	if err != nil {
		return err
	}
	f.entries[zone] = caller
	return f.startDaemon(loader.Settings{
		Role:   banyanplank.RoleEntry,
		Name:   banyanplank.DaemonID("entry-" + zone),
		Zone:   zone,
		Listen: loader.Listen{Caller: caller},
	})
}

// startAgent starts an engine and its agent.
func (f *fleet) startAgent(zone banyanplank.Zone, number int) (err error) {
	e := engine.New()
	f.engines[zone] = append(f.engines[zone], e)
	f.engineGroup.Go(func(ctx context.Context) error {
		e.Run(ctx)
		return nil
	})
	address, err := loopback.Address()
	if err != nil {
		return err
	}
	server := &http.Server{Addr: address.String(), Handler: e.Handler(), ReadHeaderTimeout: time.Second}
	f.engineGroup.Go(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		_ = server.ListenAndServe()
		return nil
	})
	return f.startDaemon(loader.Settings{
		Role: banyanplank.RoleAgent,
		Name: banyanplank.DaemonID(fmt.Sprintf("agent-%s-%d", zone, number)),
		Zone: zone,
		Endpoint: loader.Endpoint{
			Address:  "http://" + address.String(),
			Service:  "guide",
			Capacity: 20_000,
		},
	})
}

// startDaemon fills in the common settings and starts the daemon.
func (f *fleet) startDaemon(settings loader.Settings) (err error) {
	settings.Instance = banyanplank.InstanceID(settings.Name)
	settings.Keys.Insecure = true
	settings.Limits = loader.Limits{
		Body:    1 << 20,
		Timeout: banyanplank.Duration(30 * time.Second),
		Drain:   banyanplank.Duration(10 * time.Second),
		Held:    1 << 20,
	}
	for _, address := range []*netip.AddrPort{&settings.Listen.Peer, &settings.Listen.Admin} {
		if *address, err = loopback.Address(); err != nil {
			return err
		}
	}
	f.admins = append(f.admins, settings.Listen.Admin)
	d, err := daemon.New(settings, daemon.WithStore(f.platform), daemon.WithInstances(f.platform))
	if err != nil {
		return err
	}
	f.daemonGroup.Go(d.Run)
	return nil
}

// stop drains and stops the daemons, then stops the engines.
func (f *fleet) stop() (err error) {
	f.stopDaemons()
	err = f.daemonGroup.Wait()
	f.stopEngines()
	_ = f.engineGroup.Wait()
	return err
}
