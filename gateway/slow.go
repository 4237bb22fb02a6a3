package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// slowReportLifetime is how long this entry repeats which endpoints are slow. It is
// shorter than the time between the rounds that detect slow endpoints while such
// rounds fail.
const slowReportLifetime = 1500 * time.Millisecond

// slowReports holds the endpoints that delay their group of ranks, by service.
type slowReports struct {
	mutex     sync.Mutex
	byService map[banyanplank.ServiceName]slowReport
}

// slowReport lists the slow endpoints of one service as of a time.
type slowReport struct {
	reportedAt time.Time
	endpoints  []banyanplank.BackendID
}

// replace stores the report of a service and returns the previous one.
func (s *slowReports) replace(service banyanplank.ServiceName, report slowReport) (previous slowReport, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byService == nil {
		s.byService = make(map[banyanplank.ServiceName]slowReport)
	}
	previous, known = s.byService[service]
	s.byService[service] = report
	return previous, known
}

// recordSlow stores which endpoints of a service delay their group of ranks, and
// passes them to the balancer. It logs changes.
func (d *Daemon) recordSlow(service banyanplank.ServiceName, endpoints []banyanplank.BackendID) {
	now := time.Now()
	previous, known := d.slowReports.replace(service, slowReport{reportedAt: now, endpoints: endpoints})
	d.balancer.MarkSlow(now, endpoints)
	if !known || !slices.Equal(previous.endpoints, endpoints) {
		d.logger.Info().Str("service", string(service)).Strs("endpoints", endpointNames(endpoints)).Msg("slow ranks")
	}
}

// slowEndpoints returns the endpoints of all reports that have not expired.
func (d *Daemon) slowEndpoints() (endpoints []banyanplank.BackendID) {
	d.slowReports.mutex.Lock()
	defer d.slowReports.mutex.Unlock()
	for _, report := range d.slowReports.byService {
		if time.Since(report.reportedAt) < slowReportLifetime {
			endpoints = append(endpoints, report.endpoints...)
		}
	}
	slices.Sort(endpoints)
	return endpoints
}
