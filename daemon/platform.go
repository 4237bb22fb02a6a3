package daemon

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank/state/loader"
	"github.com/banyanplank/banyanplank/transport/storer"
)

// connectPlatform creates the platform clients that were not set by options.
func (d *Daemon) connectPlatform() (err error) {
	if d.store != nil && d.instances != nil {
		return nil
	}
	defer func() { err = errors.Wrap(err, "connect platform") }()
	options, err := storerOptions(d.settings.Platform)
	if err != nil {
		return err
	}
	client, err := storer.New(d.settings.Platform.Address, options...)
	if err != nil {
		return err
	}
	if d.store == nil {
		d.store = client
	}
	if d.instances == nil {
		d.instances = client
	}
	return nil
}

// storerOptions reads the bearer key from its file, if the settings name one.
func storerOptions(platform loader.Platform) (options []storer.Option, err error) {
	if platform.Key == "" {
		return nil, nil
	}
	text, err := os.ReadFile(platform.Key)
	if err != nil {
		return nil, err
	}
	return []storer.Option{storer.WithKey(strings.TrimSpace(string(text)))}, nil
}
