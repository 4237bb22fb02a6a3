package carrier

import "github.com/banyanplank/banyanplank"

// EncodeFindings returns the messages for findings.
func EncodeFindings(findings []banyanplank.Finding) (messages []*Finding) {
	for _, f := range findings {
		message := &Finding{Kind: uint32(f.Kind), Death: uint64(f.Death)}
		for _, request := range f.Requests {
			message.Requests = append(message.Requests, uint64(request))
		}
		messages = append(messages, message)
	}
	return messages
}

// DecodeFindings returns the findings that the messages carry. It leaves out
// findings of a kind that this build does not know.
func DecodeFindings(messages []*Finding) (findings []banyanplank.Finding) {
	for _, message := range messages {
		if message.GetKind() > uint32(banyanplank.FindingCleared) {
			continue
		}
		f := banyanplank.Finding{
			Kind:  banyanplank.FindingKind(message.GetKind()),
			Death: banyanplank.DeathID(message.GetDeath()),
		}
		for _, request := range message.GetRequests() {
			f.Requests = append(f.Requests, banyanplank.Fingerprint(request))
		}
		findings = append(findings, f)
	}
	return findings
}
