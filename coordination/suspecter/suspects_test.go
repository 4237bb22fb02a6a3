package suspecter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func printOf(account, body string) banyanplank.Fingerprint {
	return (&banyanplank.Request{Account: banyanplank.AccountID(account), Body: []byte(body)}).Fingerprint()
}

func TestJudge(t *testing.T) {
	bad, good, other := printOf("a", "bad"), printOf("a", "good"), printOf("b", "good")
	fall := func(id banyanplank.DeathID, requests ...banyanplank.Fingerprint) banyanplank.Finding {
		return banyanplank.Finding{Death: id, Requests: requests}
	}
	tests := map[string]struct {
		findings []banyanplank.Finding
		after    time.Duration
		bad      Verdict
		good     Verdict
	}{
		"unknown":             {nil, 0, VerdictFree, VerdictFree},
		"crowd":               {[]banyanplank.Finding{fall(1, bad, good)}, 0, VerdictAlone, VerdictAlone},
		"doubled":             {[]banyanplank.Finding{fall(1, bad), fall(1, bad)}, 0, VerdictAlone, VerdictFree},
		"then alone":          {[]banyanplank.Finding{fall(1, bad, good), fall(2, bad)}, 0, VerdictRefused, VerdictAlone},
		"two crowds":          {[]banyanplank.Finding{fall(1, bad, good), fall(2, other, bad)}, 0, VerdictRefused, VerdictAlone},
		"same crowd twice":    {[]banyanplank.Finding{fall(1, bad, good), fall(2, bad, good)}, 0, VerdictAlone, VerdictAlone},
		"cleared":             {[]banyanplank.Finding{fall(1, bad, good), {Kind: banyanplank.FindingCleared, Requests: []banyanplank.Fingerprint{good}}}, 0, VerdictAlone, VerdictFree},
		"cleared when guilty": {[]banyanplank.Finding{fall(1, bad), fall(2, bad), {Kind: banyanplank.FindingCleared, Requests: []banyanplank.Fingerprint{bad}}}, 0, VerdictRefused, VerdictFree},
		"withdrawn":           {[]banyanplank.Finding{fall(1, bad, good), {Kind: banyanplank.FindingWithdrawn, Death: 1, Requests: []banyanplank.Fingerprint{bad, good}}}, 0, VerdictFree, VerdictFree},
		"expired":             {[]banyanplank.Finding{fall(1, bad), fall(2, bad)}, expiry + time.Second, VerdictFree, VerdictFree},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewSuspects()
			for _, finding := range test.findings {
				s.Observe(epoch, finding)
			}
			is.Equal(s.Judge(epoch.Add(test.after), bad), test.bad)
			is.Equal(s.Judge(epoch.Add(test.after), good), test.good)
			is.True(s.Judge(epoch, printOf("b", "bad")) == VerdictFree) // another account's equal request
		})
	}
}

// TestCrashingRequestsAreStopped plays endpoints that die of some requests.
// The oracle knows which ones: none of the others is ever refused, and each of
// them takes down two endpoints at most once findings have spread.
func TestCrashingRequestsAreStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSuspects()
		now := epoch
		crashing := map[banyanplank.Fingerprint]bool{}
		deaths := map[banyanplank.Fingerprint]int{}
		var requests []banyanplank.Fingerprint
		for i := range 8 {
			fingerprint := printOf(fmt.Sprint(i%3), fmt.Sprint(i))
			crashing[fingerprint] = i < 2
			requests = append(requests, fingerprint)
		}
		for id := range rapid.IntRange(1, 60).Draw(t, "rounds") {
			now = now.Add(time.Second)
			var crowd []banyanplank.Fingerprint
			for _, index := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 1, 5, rapid.ID[int]).Draw(t, "crowd") {
				fingerprint := requests[index]
				switch verdict := s.Judge(now, fingerprint); {
				case verdict == VerdictRefused && !crashing[fingerprint]:
					t.Fatalf("a harmless request is refused")
				case verdict == VerdictAlone && len(crowd) == 0:
					crowd = append(crowd, fingerprint)
				case verdict == VerdictFree:
					crowd = append(crowd, fingerprint)
				}
				if len(crowd) == 1 && s.Judge(now, crowd[0]) == VerdictAlone {
					break
				}
			}
			if len(crowd) == 0 {
				continue
			}
			fell := false
			for _, fingerprint := range crowd {
				if crashing[fingerprint] {
					deaths[fingerprint]++
					fell = true
				}
			}
			kind := banyanplank.FindingCleared
			if fell {
				kind = banyanplank.FindingDeath
			}
			s.Observe(now, banyanplank.Finding{Kind: kind, Death: banyanplank.DeathID(id + 1), Requests: crowd})
		}
		for fingerprint, count := range deaths {
			if count > 2 {
				t.Fatalf("request %x took down %d endpoints", fingerprint, count)
			}
		}
	})
}

func TestOneAccountCannotFillTheMemory(t *testing.T) {
	is := is.New(t)
	s := NewSuspects()
	for i := range 10_000 {
		s.Observe(epoch, banyanplank.Finding{Death: banyanplank.DeathID(i), Requests: []banyanplank.Fingerprint{printOf("flood", fmt.Sprint(i))}})
	}
	for id := range banyanplank.DeathID(2) {
		s.Observe(epoch, banyanplank.Finding{Death: id, Requests: []banyanplank.Fingerprint{printOf("small", "bad")}})
	}
	is.Equal(s.Judge(epoch, printOf("small", "bad")), VerdictRefused)
	is.True(len(s.accounts[printOf("flood", "").Account()]) <= mostSuspects)
}
