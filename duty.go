package banyanplank

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUsageIncomplete means that too many counts of a window may be missing to report it.
var ErrUsageIncomplete = errors.New("usage of the window is incomplete")

// Duty is a kind of call to the platform that one entry at a time makes.
type Duty string

// The duties.
const (
	// DutyUsage is to report the requests of each client account.
	DutyUsage Duty = "usage_report"
	// DutyScale is to order the number of endpoints of services.
	DutyScale Duty = "autoscale"
)

// Term is the right of an entry to act for a duty.
type Term struct {
	Holder DaemonID
	// Token is the fencing token. It increases with each holder.
	Token uint64
	// Since is when the holder got the duty, and Until when it must stop acting unless the
	// term is renewed.
	Since, Until time.Time
}

// IsHeld reports whether the holder may act at a time.
func (t Term) IsHeld(now time.Time) bool { return t.Token > 0 && now.Before(t.Until) }

// UsageReport counts the requests of each client account that began to run in a window.
type UsageReport struct {
	// Window is the number of the window. Window k begins k window lengths after the start
	// of 1970.
	Window int64
	Counts map[AccountID]int64
}

// UsageCollector collects the counts of all entries.
type UsageCollector interface {
	// Collect returns the counts of a window that has ended. It returns
	// [ErrUsageIncomplete] if too many may be missing to report them.
	Collect(ctx context.Context, window int64) (report UsageReport, err error)
}

// ScaleOrder is the desired number of endpoints of a service in an availability zone.
type ScaleOrder struct {
	Service ServiceName
	Zone    Zone
	Desired int
}

// DutyPlatform makes the calls of duties. An error that matches [ErrUncertain] means that the
// call may have been accepted.
type DutyPlatform interface {
	// EncodeUsage returns the body of a report. The same report has the same body.
	EncodeUsage(report UsageReport) (body []byte, err error)
	// ReportUsage sends the body of a report.
	ReportUsage(ctx context.Context, term Term, body []byte) (err error)
	// Scale sends an order.
	Scale(ctx context.Context, term Term, order ScaleOrder) (err error)
}
