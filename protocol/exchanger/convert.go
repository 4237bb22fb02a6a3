// Package exchanger defines the messages with which entries exchange the demand
// of client accounts and findings about requests that crash endpoints, and
// converts them to and from the domain types.
package exchanger

import (
	"math"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/limiter"
	"github.com/banyanplank/banyanplank/protocol/carrier"
)

// NewDemand returns the message for the usages of client accounts at an entry.
func NewDemand(entry banyanplank.DaemonID, usages []limiter.Usage) (message *Demand) {
	message = &Demand{Entry: string(entry)}
	for _, usage := range usages {
		message.Usages = append(message.Usages, &Usage{
			Account: string(usage.Account),
			Rate:    float32(usage.Rate),
			Running: float32(usage.Running),
		})
	}
	return message
}

// DecodeUsages returns the usages in the message. It omits those with a rate or a
// running count that is negative or not finite.
func (x *Demand) DecodeUsages() (usages []limiter.Usage) {
	for _, usage := range x.GetUsages() {
		if !isValidAmount(usage.GetRate()) || !isValidAmount(usage.GetRunning()) {
			continue
		}
		usages = append(usages, limiter.Usage{
			Account: banyanplank.AccountID(usage.GetAccount()),
			Rate:    float64(usage.GetRate()),
			Running: float64(usage.GetRunning()),
		})
	}
	return usages
}

// isValidAmount reports whether x is finite and not negative.
func isValidAmount(x float32) bool {
	return x >= 0 && float64(x) <= math.MaxFloat32
}

// NewFindings returns the message for findings.
func NewFindings(findings []banyanplank.Finding) (message *Findings) {
	return &Findings{Findings: carrier.EncodeFindings(findings)}
}

// DecodeFindings returns the findings in the message. It omits findings of a kind that
// this version does not recognize.
func (x *Findings) DecodeFindings() (findings []banyanplank.Finding) {
	return carrier.DecodeFindings(x.GetFindings())
}
