package gateway

import (
	"sync"
	"time"
)

// errorLogInterval is the least time between two log lines about errors of one kind that others can
// cause at any rate, for example by datagrams that are no heartbeats.
const errorLogInterval = time.Second

// errorLog bounds the log lines about errors of one kind.
type errorLog struct {
	mutex    sync.Mutex
	loggedAt time.Time
	// skipped is the number of errors since the last line.
	skipped int
}

// logError logs an error with a message. Errors soon after another one are counted in the next
// line.
func (d *Daemon) logError(e *errorLog, message string, err error) {
	now := time.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now.Sub(e.loggedAt) < errorLogInterval {
		e.skipped++
		return
	}
	d.logger.Warn().Err(err).Int("skipped", e.skipped).Msg(message)
	e.loggedAt, e.skipped = now, 0
}

// logHeartbeatError logs an error of sending or reading a heartbeat.
func (d *Daemon) logHeartbeatError(err error) {
	d.logError(&d.heartbeatErrors, "heartbeat failed", err)
}
