package suspecter

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Limits on the remembered findings.
const (
	// findingTTL is how long a finding counts.
	findingTTL            = 10 * time.Minute
	maxSuspectsPerAccount = 256
	// maxAccounts bounds the accounts with suspects.
	maxAccounts = 1024
	// completionGrace is how long after a request completed a death does not count
	// against it. A frequent request may run at every endpoint that another request
	// crashes, without a chance to complete in the meantime.
	completionGrace = 10 * time.Second
	// maxRequestsPerDeath bounds the requests remembered of one death. The crash was
	// most likely caused by a request that started late.
	maxRequestsPerDeath = 128
	maxDeathsPerSuspect = 4
	// maxRecords bounds each of the deaths, completions and acquittals remembered of
	// all suspects together.
	maxRecords = 4096
)

// Verdict is the condition under which a request may run.
type Verdict uint8

// The verdicts.
const (
	// VerdictAllowed lets the request run concurrently with others.
	VerdictAllowed Verdict = iota
	// VerdictAlone lets the request run only while the endpoint runs no other, or, for a
	// part of its prompt, while no entry runs another one with suspect parts.
	VerdictAlone
	// VerdictRefused rejects the request.
	VerdictRefused
)

// Suspects tracks the requests that ran when an endpoint died. It does no I/O and reads
// no clock, and is not safe for concurrent use.
type Suspects struct {
	accounts map[uint32]map[banyanplank.Fingerprint]*suspect
	deaths   map[banyanplank.DeathID]*death
	// completed holds when suspects last completed. Earlier deaths, which other daemons
	// may continue to report, no longer count against them.
	completed map[banyanplank.Fingerprint]time.Time
	// acquitted holds until when convictions by other daemons are ignored: those daemons
	// may not have received the acquittal yet.
	acquitted map[banyanplank.Fingerprint]time.Time
}

// NewSuspects returns a [Suspects] without findings.
func NewSuspects() *Suspects {
	return &Suspects{
		accounts: map[uint32]map[banyanplank.Fingerprint]*suspect{},
		deaths:   map[banyanplank.DeathID]*death{},

		completed: map[banyanplank.Fingerprint]time.Time{},
		acquitted: map[banyanplank.Fingerprint]time.Time{},
	}
}

// Verdict returns the verdict on a request at time now.
func (s *Suspects) Verdict(now time.Time, request banyanplank.Fingerprint) Verdict {
	found := s.accounts[request.Account()][request]
	switch {
	case found == nil || now.After(found.until):
		return VerdictAllowed
	case found.isConvicted():
		return VerdictRefused
	default:
		return VerdictAlone
	}
}

// RetryAfter returns for how much longer a request stays suspect or refused, or 0 if it
// is not suspect.
func (s *Suspects) RetryAfter(now time.Time, request banyanplank.Fingerprint) time.Duration {
	if found := s.accounts[request.Account()][request]; found != nil {
		return found.until.Sub(now)
	}
	return 0
}

// FindingsFor returns the findings of the deaths at which a request ran.
func (s *Suspects) FindingsFor(now time.Time, request banyanplank.Fingerprint) (findings []banyanplank.Finding) {
	found := s.accounts[request.Account()][request]
	if found == nil || now.After(found.until) {
		return nil
	}
	for _, r := range found.runs {
		findings = append(findings, banyanplank.Finding{Kind: banyanplank.FindingDeath, Death: r.id, Requests: slices.Clone(r.requests)})
	}
	return findings
}

// Add applies a finding of this or another daemon and reports whether it changed
// anything. Adding a finding again has no effect.
func (s *Suspects) Add(now time.Time, finding banyanplank.Finding) (changed bool) {
	finding.Requests = finding.Requests[:min(len(finding.Requests), maxRequestsPerDeath)]
	var d *death
	if finding.Kind == banyanplank.FindingDeath {
		finding = s.dropCompleted(now, finding)
	}
	if finding.Kind == banyanplank.FindingDeath && len(finding.Requests) > 0 {
		d = s.recordDeath(now, finding)
	}
	for i, request := range finding.Requests {
		switch finding.Kind {
		case banyanplank.FindingDeath:
			began := d.at
			if i < len(finding.RunTimes) {
				began = now.Add(-finding.Age - finding.RunTimes[i])
			}
			changed = s.addDeath(now, request, fatalRun{death: d, began: began}) || changed
		case banyanplank.FindingWithdrawn:
			changed = s.withdraw(request, finding.Death) || changed
		case banyanplank.FindingCleared:
			changed = s.clear(now.Add(-finding.Age), request) || changed
		case banyanplank.FindingConvicted:
			changed = s.convict(now, request, finding.Remaining) || changed
		case banyanplank.FindingAcquitted:
			changed = s.acquit(now, now.Add(-finding.Age), request) || changed
		}
	}
	return changed
}

// dropCompleted returns a finding without the requests that completed shortly before the
// death. They would hide which request the death is due to.
func (s *Suspects) dropCompleted(now time.Time, finding banyanplank.Finding) (rest banyanplank.Finding) {
	diedAt := now.Add(-finding.Age)
	if d := s.deaths[finding.Death]; d != nil && d.at.Before(diedAt) {
		diedAt = d.at
	}
	rest = finding
	rest.Requests, rest.RunTimes = nil, nil
	for i, request := range finding.Requests {
		if completedAt, known := s.completed[request]; known && isWithinGrace(completedAt, diedAt) {
			continue
		}
		rest.Requests = append(rest.Requests, request)
		if i < len(finding.RunTimes) {
			rest.RunTimes = append(rest.RunTimes, finding.RunTimes[i])
		}
	}
	return rest
}

// recordDeath returns the death that a finding reports, with the finding's requests
// added. Several daemons may report the same death, each with the requests that it had
// sent there.
func (s *Suspects) recordDeath(now time.Time, finding banyanplank.Finding) (d *death) {
	at := now.Add(-finding.Age)
	d = s.deaths[finding.Death]
	if d == nil {
		d = &death{id: finding.Death, at: at}
		if len(s.deaths) >= maxRecords {
			s.Expire(now)
		}
		if len(s.deaths) < maxRecords {
			s.deaths[finding.Death] = d
		}
	}
	if at.Before(d.at) {
		d.at = at
	}
	d.until = now.Add(findingTTL)
	for _, request := range finding.Requests {
		if len(d.requests) < maxRequestsPerDeath && !slices.Contains(d.requests, request) {
			d.requests = append(d.requests, request)
		}
	}
	return d
}

// addDeath adds a run that ended in a death to the suspect for the request.
func (s *Suspects) addDeath(now time.Time, request banyanplank.Fingerprint, r fatalRun) (added bool) {
	found := s.getOrCreateSuspect(now, request)
	if found == nil {
		return false
	}
	for _, known := range found.runs {
		if known.id == r.id {
			return false
		}
	}
	if len(found.runs) == maxDeathsPerSuspect {
		earliest := found.earliestRun()
		if !r.at.After(found.runs[earliest].at) {
			return false
		}
		found.runs = slices.Delete(found.runs, earliest, earliest+1)
	}
	found.runs = append(found.runs, r)
	found.until = now.Add(findingTTL)
	return true
}

// convict applies a conviction by another daemon. It does not extend an existing
// conviction, or daemons would renew each other's convictions forever.
func (s *Suspects) convict(now time.Time, request banyanplank.Fingerprint, left time.Duration) (changed bool) {
	left = min(left, findingTTL)
	if left <= 0 || now.Before(s.acquitted[request]) || s.Verdict(now, request) == VerdictRefused {
		return false
	}
	found := s.getOrCreateSuspect(now, request)
	if found == nil {
		return false
	}
	found.convictedByPeer, found.until = true, now.Add(left)
	return true
}

// Convicted returns the convicted requests in ascending order.
func (s *Suspects) Convicted(now time.Time) (convicted []banyanplank.Fingerprint) {
	for _, suspects := range s.accounts {
		for request, found := range suspects {
			if !now.After(found.until) && found.isConvicted() {
				convicted = append(convicted, request)
			}
		}
	}
	slices.Sort(convicted)
	return convicted
}

// getOrCreateSuspect returns the suspect for a request and creates it if necessary. It
// returns nil if a limit is reached.
func (s *Suspects) getOrCreateSuspect(now time.Time, request banyanplank.Fingerprint) (found *suspect) {
	suspects := s.accounts[request.Account()]
	if found = suspects[request]; found != nil && !now.After(found.until) {
		return found
	}
	if len(suspects) >= maxSuspectsPerAccount || suspects == nil && len(s.accounts) >= maxAccounts {
		s.Expire(now)
		suspects = s.accounts[request.Account()]
	}
	if len(suspects) >= maxSuspectsPerAccount || suspects == nil && len(s.accounts) >= maxAccounts {
		return nil
	}
	if suspects == nil {
		suspects = map[banyanplank.Fingerprint]*suspect{}
		s.accounts[request.Account()] = suspects
	}
	found = &suspect{until: now.Add(findingTTL)}
	suspects[request] = found
	return found
}

// withdraw removes a death from the suspect for a request.
func (s *Suspects) withdraw(request banyanplank.Fingerprint, id banyanplank.DeathID) (removed bool) {
	found := s.accounts[request.Account()][request]
	if found == nil {
		return false
	}
	before := len(found.runs)
	found.runs = slices.DeleteFunc(found.runs, func(r fatalRun) bool { return r.id == id })
	if len(found.runs) == 0 && !found.convictedByPeer {
		s.removeSuspect(request, found)
	}
	return len(found.runs) < before
}

// isWithinGrace reports whether a request that completed at the time ended cannot have
// caused a death at the time died.
func isWithinGrace(ended, died time.Time) bool { return !died.After(ended.Add(completionGrace)) }

// clear removes the suspect for a request that completed at a time, unless it is
// convicted.
func (s *Suspects) clear(at time.Time, request banyanplank.Fingerprint) (removed bool) {
	found := s.accounts[request.Account()][request]
	if found != nil && found.isConvicted() {
		return false
	}
	s.recordCompletion(at, request)
	if found == nil {
		return false
	}
	s.removeSuspect(request, found)
	return true
}

// recordCompletion records that a request completed at a time.
func (s *Suspects) recordCompletion(at time.Time, request banyanplank.Fingerprint) {
	if at.After(s.completed[request]) && len(s.completed) < maxRecords {
		s.completed[request] = at
	}
}

// acquit removes the suspect for a request, even if convicted, that completed at a time
// after all deaths attributed to it.
func (s *Suspects) acquit(now, at time.Time, request banyanplank.Fingerprint) (removed bool) {
	s.recordCompletion(at, request)
	if len(s.acquitted) < maxRecords {
		s.acquitted[request] = now.Add(findingTTL)
	}
	found := s.accounts[request.Account()][request]
	if found == nil {
		return false
	}
	s.removeSuspect(request, found)
	return true
}

// LastDeath returns the time of the latest death at which a request ran, if one is known.
func (s *Suspects) LastDeath(request banyanplank.Fingerprint) (at time.Time, known bool) {
	found := s.accounts[request.Account()][request]
	if found == nil {
		return at, false
	}
	for _, r := range found.runs {
		if r.at.After(at) {
			at = r.at
		}
	}
	return at, len(found.runs) > 0
}

// removeSuspect removes a suspect and takes its request off the deaths at which it ran. The
// deaths still count against the other requests.
func (s *Suspects) removeSuspect(request banyanplank.Fingerprint, found *suspect) {
	for _, r := range found.runs {
		r.requests = slices.DeleteFunc(r.requests, func(f banyanplank.Fingerprint) bool { return f == request })
	}
	suspects := s.accounts[request.Account()]
	delete(suspects, request)
	if len(suspects) == 0 {
		delete(s.accounts, request.Account())
	}
}

// Expire removes expired suspects, completions, acquittals and deaths.
func (s *Suspects) Expire(now time.Time) {
	for account, suspects := range s.accounts {
		for request, found := range suspects {
			if now.After(found.until) {
				delete(suspects, request)
			}
		}
		if len(suspects) == 0 {
			delete(s.accounts, account)
		}
	}
	maps.DeleteFunc(s.completed, func(_ banyanplank.Fingerprint, at time.Time) bool { return now.Sub(at) > findingTTL })
	maps.DeleteFunc(s.acquitted, func(_ banyanplank.Fingerprint, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(s.deaths, func(_ banyanplank.DeathID, d *death) bool { return now.After(d.until) })
}
