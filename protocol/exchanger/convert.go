// Package exchanger holds the messages by which entries tell each other of the
// demand of client accounts and of requests that crash endpoints, and turns them
// into the types of the domain.
package exchanger

import (
	"math"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/limiter"
	"github.com/banyanplank/banyanplank/protocol/carrier"
)

// NewDemand returns the message for usages at an entry.
func NewDemand(entry banyanplank.DaemonID, usages []limiter.Usage) (message *Demand) {
	message = &Demand{Entry: string(entry)}
	for _, u := range usages {
		message.Usages = append(message.Usages, &Usage{
			Account: string(u.Account),
			Rate:    float32(u.Rate),
			Running: float32(u.Running),
		})
	}
	return message
}

// List returns the usages that the message carries. It leaves out those that
// are no amounts.
func (x *Demand) List() (usages []limiter.Usage) {
	for _, u := range x.GetUsages() {
		if !isAmount(u.GetRate()) || !isAmount(u.GetRunning()) {
			continue
		}
		usages = append(usages, limiter.Usage{
			Account: banyanplank.AccountID(u.GetAccount()),
			Rate:    float64(u.GetRate()),
			Running: float64(u.GetRunning()),
		})
	}
	return usages
}

// isAmount reports whether x is a finite number that is not negative.
func isAmount(x float32) bool {
	return x >= 0 && float64(x) <= math.MaxFloat32
}

// NewFindings returns the message for findings.
func NewFindings(findings []banyanplank.Finding) (message *Findings) {
	return &Findings{Findings: carrier.EncodeFindings(findings)}
}

// List returns the findings that the message carries. It leaves out findings of
// a kind that this build does not know.
func (x *Findings) List() (findings []banyanplank.Finding) {
	return carrier.DecodeFindings(x.GetFindings())
}
