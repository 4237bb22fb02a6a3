package daemon

import "github.com/cockroachdb/errors"

// connectPlatform builds the clients of the platform that no option gave.
func (d *Daemon) connectPlatform() (err error) {
	if d.store == nil || d.list == nil {
		return errors.New("no client of the platform")
	}
	return nil
}
