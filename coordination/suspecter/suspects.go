package suspecter

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The bounds of what is remembered.
const (
	// expiry is how long a finding counts.
	expiry = 10 * time.Minute
	// mostSuspects bounds the suspects of one account.
	mostSuspects = 256
	// mostAccounts bounds the accounts with suspects.
	mostAccounts = 1024
	// soundTime is how long after a request ran to its end a death doesn't count
	// against it. All requests of a kind that is made often may run at each of the
	// endpoints that another one crashes, with no chance to end well meanwhile.
	soundTime = 10 * time.Second
	// mostRunning bounds the requests remembered of one death. The crash most
	// likely comes from one that started late.
	mostRunning = 128
	// mostDeaths bounds the deaths remembered of one suspect.
	mostDeaths = 4
	// mostKnown bounds the deaths remembered of all suspects together.
	mostKnown = 4096
)

// Verdict tells how a request may run.
type Verdict uint8

// The verdicts.
const (
	// VerdictFree lets the request run beside others.
	VerdictFree Verdict = iota
	// VerdictAlone lets it run only while nothing else does.
	VerdictAlone
	// VerdictRefused keeps it from running.
	VerdictRefused
)

// Suspects remembers the requests that ran when an endpoint died. It is pure
// and not safe for use by several goroutines at once.
type Suspects struct {
	accounts map[uint32]map[banyanplank.Fingerprint]*suspect
	deaths   map[banyanplank.DeathID]*death
	// ended tells when suspects last ran to their end. Earlier deaths, which other
	// daemons go on to tell of, no longer count against them.
	ended map[banyanplank.Fingerprint]time.Time
	// acquitted tells until when the word of others that requests are guilty does
	// not count: some may not know yet that these ran to their end.
	acquitted map[banyanplank.Fingerprint]time.Time
}

// NewSuspects returns an empty memory.
func NewSuspects() *Suspects {
	return &Suspects{
		accounts: map[uint32]map[banyanplank.Fingerprint]*suspect{},
		deaths:   map[banyanplank.DeathID]*death{},

		ended:     map[banyanplank.Fingerprint]time.Time{},
		acquitted: map[banyanplank.Fingerprint]time.Time{},
	}
}

// Judge returns how a request may run at now.
func (s *Suspects) Judge(now time.Time, request banyanplank.Fingerprint) Verdict {
	found := s.accounts[request.Account()][request]
	switch {
	case found == nil || now.After(found.until):
		return VerdictFree
	case found.isGuilty():
		return VerdictRefused
	default:
		return VerdictAlone
	}
}

// Retry returns how long a refused request stays refused.
func (s *Suspects) Retry(now time.Time, request banyanplank.Fingerprint) time.Duration {
	if found := s.accounts[request.Account()][request]; found != nil {
		return found.until.Sub(now)
	}
	return 0
}

// About returns the deaths at which a request ran.
func (s *Suspects) About(now time.Time, request banyanplank.Fingerprint) (findings []banyanplank.Finding) {
	found := s.accounts[request.Account()][request]
	if found == nil || now.After(found.until) {
		return nil
	}
	for _, r := range found.runs {
		findings = append(findings, banyanplank.Finding{Kind: banyanplank.FindingDeath, Death: r.id, Requests: slices.Clone(r.beside)})
	}
	return findings
}

// Observe takes in a finding, own or another daemon's, and reports whether it
// was news. Doubled findings do no harm.
func (s *Suspects) Observe(now time.Time, finding banyanplank.Finding) (news bool) {
	finding.Requests = finding.Requests[:min(len(finding.Requests), mostRunning)]
	var fatal *death
	if finding.Kind == banyanplank.FindingDeath && len(finding.Requests) > 0 {
		fatal = s.death(now, finding)
	}
	for i, request := range finding.Requests {
		switch finding.Kind {
		case banyanplank.FindingDeath:
			began := fatal.at
			if i < len(finding.Ran) {
				began = now.Add(-finding.Age - finding.Ran[i])
			}
			news = s.accuse(now, request, run{death: fatal, began: began}) || news
		case banyanplank.FindingWithdrawn:
			news = s.withdraw(request, finding.Death) || news
		case banyanplank.FindingCleared:
			news = s.clear(now.Add(-finding.Age), request) || news
		case banyanplank.FindingConvicted:
			news = s.convict(now, request, finding.Left) || news
		case banyanplank.FindingAcquitted:
			news = s.acquit(now, now.Add(-finding.Age), request) || news
		}
	}
	return news
}

// death returns the death that a finding tells of, with the requests that ran.
// Several daemons tell of the same one, each of the requests that it had there.
func (s *Suspects) death(now time.Time, finding banyanplank.Finding) (d *death) {
	at := now.Add(-finding.Age)
	d = s.deaths[finding.Death]
	if d == nil {
		d = &death{id: finding.Death, at: at}
		if len(s.deaths) >= mostKnown {
			s.Expire(now)
		}
		if len(s.deaths) < mostKnown {
			s.deaths[finding.Death] = d
		}
	}
	if at.Before(d.at) {
		d.at = at
	}
	d.until = now.Add(expiry)
	for _, request := range finding.Requests {
		if len(d.beside) < mostRunning && !slices.Contains(d.beside, request) {
			d.beside = append(d.beside, request)
		}
	}
	return d
}

// accuse adds a death to a request.
func (s *Suspects) accuse(now time.Time, request banyanplank.Fingerprint, r run) (news bool) {
	if ended, known := s.ended[request]; known && isSound(ended, r.at) {
		return false
	}
	found := s.suspect(now, request)
	if found == nil {
		return false
	}
	for _, known := range found.runs {
		if known.id == r.id {
			return false
		}
	}
	if len(found.runs) == mostDeaths {
		found.runs = slices.Delete(found.runs, 0, 1)
	}
	found.runs = append(found.runs, r)
	found.until = now.Add(expiry)
	return true
}

// convict takes in that another daemon has found a request guilty. One that is known
// to be guilty stays so no longer for it, or daemons would keep each other's word alive.
func (s *Suspects) convict(now time.Time, request banyanplank.Fingerprint, left time.Duration) (news bool) {
	left = min(left, expiry)
	if left <= 0 || now.Before(s.acquitted[request]) || s.Judge(now, request) == VerdictRefused {
		return false
	}
	found := s.suspect(now, request)
	if found == nil {
		return false
	}
	found.convicted, found.until = true, now.Add(left)
	return true
}

// Guilty returns the requests that are found to crash endpoints.
func (s *Suspects) Guilty(now time.Time) (guilty []banyanplank.Fingerprint) {
	for _, named := range s.accounts {
		for request, found := range named {
			if !now.After(found.until) && found.isGuilty() {
				guilty = append(guilty, request)
			}
		}
	}
	slices.Sort(guilty)
	return guilty
}

// suspect returns the suspect for a request, new if there is room, or nil.
func (s *Suspects) suspect(now time.Time, request banyanplank.Fingerprint) (found *suspect) {
	named := s.accounts[request.Account()]
	if found = named[request]; found != nil && !now.After(found.until) {
		return found
	}
	if len(named) >= mostSuspects || named == nil && len(s.accounts) >= mostAccounts {
		s.Expire(now)
		named = s.accounts[request.Account()]
	}
	if len(named) >= mostSuspects || named == nil && len(s.accounts) >= mostAccounts {
		return nil
	}
	if named == nil {
		named = map[banyanplank.Fingerprint]*suspect{}
		s.accounts[request.Account()] = named
	}
	found = &suspect{until: now.Add(expiry)}
	named[request] = found
	return found
}

// withdraw takes a death off a request.
func (s *Suspects) withdraw(request banyanplank.Fingerprint, id banyanplank.DeathID) (news bool) {
	found := s.accounts[request.Account()][request]
	if found == nil {
		return false
	}
	before := len(found.runs)
	found.runs = slices.DeleteFunc(found.runs, func(r run) bool { return r.id == id })
	if len(found.runs) == 0 {
		s.forget(request, found)
	}
	return len(found.runs) < before
}

// isSound reports whether a request that ran to its end at a time can't have been what
// ended an endpoint at another.
func isSound(ended, died time.Time) bool { return !died.After(ended.Add(soundTime)) }

// clear forgets a request that ended well at a time. One that is found guilty stays.
func (s *Suspects) clear(at time.Time, request banyanplank.Fingerprint) (news bool) {
	found := s.accounts[request.Account()][request]
	if found != nil && found.isGuilty() {
		return false
	}
	s.ranTo(at, request)
	if found == nil {
		return false
	}
	s.forget(request, found)
	return true
}

// ranTo notes that a request ran to its end at a time.
func (s *Suspects) ranTo(at time.Time, request banyanplank.Fingerprint) {
	if at.After(s.ended[request]) && len(s.ended) < mostKnown {
		s.ended[request] = at
	}
}

// acquit forgets a request that ended well at a time, after all deaths that are laid to
// it.
func (s *Suspects) acquit(now, at time.Time, request banyanplank.Fingerprint) (news bool) {
	s.ranTo(at, request)
	if len(s.acquitted) < mostKnown {
		s.acquitted[request] = now.Add(expiry)
	}
	found := s.accounts[request.Account()][request]
	if found == nil {
		return false
	}
	s.forget(request, found)
	return true
}

// LastDeath returns when the last endpoint died at which a request ran, if that is known.
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

// forget drops a suspect, which takes no blame off those that ran beside it.
func (s *Suspects) forget(request banyanplank.Fingerprint, found *suspect) {
	for _, r := range found.runs {
		r.beside = slices.DeleteFunc(r.beside, func(f banyanplank.Fingerprint) bool { return f == request })
	}
	named := s.accounts[request.Account()]
	delete(named, request)
	if len(named) == 0 {
		delete(s.accounts, request.Account())
	}
}

// Expire forgets what no longer counts.
func (s *Suspects) Expire(now time.Time) {
	for account, named := range s.accounts {
		for request, found := range named {
			if now.After(found.until) {
				delete(named, request)
			}
		}
		if len(named) == 0 {
			delete(s.accounts, account)
		}
	}
	maps.DeleteFunc(s.ended, func(_ banyanplank.Fingerprint, at time.Time) bool { return now.Sub(at) > expiry })
	maps.DeleteFunc(s.acquitted, func(_ banyanplank.Fingerprint, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(s.deaths, func(_ banyanplank.DeathID, d *death) bool { return now.After(d.until) })
}
