package suspecter

import (
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
	// mostRunning bounds the requests remembered of one death. The crash most
	// likely comes from one that started late.
	mostRunning = 128
	// mostDeaths bounds the deaths remembered of one suspect.
	mostDeaths = 4
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

// death is one death at which a request ran.
type death struct {
	id banyanplank.DeathID
	// beside lists all requests that ran, the suspect among them.
	beside []banyanplank.Fingerprint
}

// suspect is a request that ran when an endpoint died.
type suspect struct {
	deaths []death
	until  time.Time
}

// isGuilty reports whether the deaths leave no other request to blame. One
// death alone may be a coincidence.
func (s *suspect) isGuilty() bool {
	if len(s.deaths) < 2 {
		return false
	}
	common := slices.Clone(s.deaths[0].beside)
	for _, d := range s.deaths[1:] {
		common = slices.DeleteFunc(common, func(f banyanplank.Fingerprint) bool { return !slices.Contains(d.beside, f) })
	}
	return len(common) == 1
}

// Suspects remembers the requests that ran when an endpoint died. It is pure
// and not safe for use by several goroutines at once.
type Suspects struct {
	accounts map[uint32]map[banyanplank.Fingerprint]*suspect
}

// NewSuspects returns an empty memory.
func NewSuspects() *Suspects {
	return &Suspects{accounts: map[uint32]map[banyanplank.Fingerprint]*suspect{}}
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
	for _, d := range found.deaths {
		findings = append(findings, banyanplank.Finding{Kind: banyanplank.FindingDeath, Death: d.id, Requests: d.beside})
	}
	return findings
}

// Observe takes in a finding, own or another daemon's, and reports whether it
// was news. Doubled findings do no harm.
func (s *Suspects) Observe(now time.Time, finding banyanplank.Finding) (news bool) {
	finding.Requests = finding.Requests[:min(len(finding.Requests), mostRunning)]
	for _, request := range finding.Requests {
		switch finding.Kind {
		case banyanplank.FindingDeath:
			news = s.accuse(now, request, finding) || news
		case banyanplank.FindingWithdrawn:
			news = s.withdraw(request, finding.Death) || news
		case banyanplank.FindingCleared:
			news = s.clear(request) || news
		}
	}
	return news
}

// accuse adds a death to a request.
func (s *Suspects) accuse(now time.Time, request banyanplank.Fingerprint, finding banyanplank.Finding) (news bool) {
	found := s.suspect(now, request)
	if found == nil {
		return false
	}
	for _, d := range found.deaths {
		if d.id == finding.Death {
			return false
		}
	}
	if len(found.deaths) == mostDeaths {
		found.deaths = slices.Delete(found.deaths, 0, 1)
	}
	found.deaths = append(found.deaths, death{id: finding.Death, beside: finding.Requests})
	found.until = now.Add(expiry)
	return true
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
	before := len(found.deaths)
	found.deaths = slices.DeleteFunc(found.deaths, func(d death) bool { return d.id == id })
	if len(found.deaths) == 0 {
		s.clear(request)
	}
	return len(found.deaths) < before
}

// clear forgets a request that ended well. One that is found guilty stays.
func (s *Suspects) clear(request banyanplank.Fingerprint) (news bool) {
	named := s.accounts[request.Account()]
	found := named[request]
	if found == nil || found.isGuilty() {
		return false
	}
	delete(named, request)
	if len(named) == 0 {
		delete(s.accounts, request.Account())
	}
	return true
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
}
