package carrier

import (
	"math"
	"time"

	"github.com/banyanplank/banyanplank"
)

// EncodeFindings returns the messages for findings.
func EncodeFindings(findings []banyanplank.Finding) (messages []*Finding) {
	for _, f := range findings {
		message := &Finding{Kind: uint32(f.Kind), Death: uint64(f.Death), Age: encodeMillis(f.Age), Left: encodeMillis(f.Remaining)}
		for _, request := range f.Requests {
			message.Requests = append(message.Requests, uint64(request))
		}
		for _, part := range f.Parts {
			message.Parts = append(message.Parts, uint64(part))
		}
		for _, runTime := range f.RunTimes {
			message.Ran = append(message.Ran, encodeMillis(runTime))
		}
		messages = append(messages, message)
	}
	return messages
}

// DecodeFindings returns the findings in the messages. It omits findings of a
// kind that this version does not recognize, and run times whose number differs
// from that of the requests.
func DecodeFindings(messages []*Finding) (findings []banyanplank.Finding) {
	for _, message := range messages {
		if message.GetKind() > uint32(banyanplank.FindingTrial) {
			continue
		}
		f := banyanplank.Finding{
			Kind:      banyanplank.FindingKind(message.GetKind()),
			Death:     banyanplank.DeathID(message.GetDeath()),
			Age:       decodeMillis(message.GetAge()),
			Remaining: decodeMillis(message.GetLeft()),
		}
		for _, request := range message.GetRequests() {
			f.Requests = append(f.Requests, banyanplank.Fingerprint(request))
		}
		for _, part := range message.GetParts() {
			f.Parts = append(f.Parts, banyanplank.PartID(part))
		}
		if len(message.GetRan()) == len(f.Requests) {
			for _, runTime := range message.GetRan() {
				f.RunTimes = append(f.RunTimes, decodeMillis(runTime))
			}
		}
		findings = append(findings, f)
	}
	return findings
}

// encodeMillis returns d in whole milliseconds, limited to the range of uint32.
func encodeMillis(d time.Duration) (ms uint32) {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

func decodeMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
