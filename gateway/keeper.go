package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Times of keeping findings in the platform's store.
const (
	// settleTime is how long findings wait before they are saved. Most suspects of a
	// death are cleared by then, as other entries report that they were answered.
	settleTime = 200 * time.Millisecond
	// keepRetryInterval is the time between two attempts while the store is away.
	keepRetryInterval = time.Second
	// staleFindingsAge is the age at which findings of another entry are removed if none
	// of them counts any more.
	staleFindingsAge = time.Hour
	// returnSpread is the time over which entries save their findings again after the store
	// returned from an older copy.
	returnSpread = time.Second
)

// savedFindings is what the store holds of this entry.
type savedFindings struct {
	// summary is that of the last write. isKnown is unset if the store may have lost that.
	summary string
	isKnown bool
	// hasWritten is set once this entry wrote at all.
	hasWritten bool
}

// keepFindings loads the stored findings on prompts that crash endpoints, and saves those
// of this entry, until ctx ends. Running entries tell each other; the store is for the case
// that all of them restart.
func (d *Daemon) keepFindings(ctx context.Context) (err error) {
	for !d.loadFindings(ctx) {
		if banyanplank.Sleep(ctx, keepRetryInterval) != nil {
			return nil
		}
	}
	saved := savedFindings{isKnown: true}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.findingsChanged:
		}
		delay := settleTime
		if d.findingsLost.Load() {
			delay += rand.N(returnSpread)
		}
		for banyanplank.Sleep(ctx, delay) == nil && !d.saveFindings(ctx, &saved) {
			delay = keepRetryInterval
		}
	}
}

// markFindingsChanged makes the findings be saved if they differ from the saved ones.
func (d *Daemon) markFindingsChanged() {
	select {
	case d.findingsChanged <- struct{}{}:
	default:
	}
}

// forgetSavedFindings makes the findings be saved again, as the store may have lost them or hold
// some that were removed.
func (d *Daemon) forgetSavedFindings() {
	d.findingsLost.Store(true)
	d.markFindingsChanged()
}

// loadFindings merges the stored findings of all entries. It reports whether the store
// replied.
func (d *Daemon) loadFindings(ctx context.Context) (ok bool) {
	stored, err := d.findings.LoadFindings(ctx)
	if err != nil {
		d.logger.Warn().Err(err).Msg("findings not loaded")
		return false
	}
	for id, s := range stored {
		age := max(0, time.Since(s.At))
		findings := agedFindings(s.Findings, age)
		var err error
		if len(findings) == 0 && age > staleFindingsAge {
			err = d.findings.SaveFindings(ctx, id, banyanplank.StoredFindings{})
		}
		d.gateway.crashTracker.MergeFindings(time.Now(), findings)
		d.logger.Info().Str("entry", string(id)).Int("findings", len(findings)).Dur("age", age).Err(err).Msg("findings loaded")
	}
	return true
}

// agedFindings returns the findings that still count after a time. Suspects of a death
// count for staleFindingsAge at most.
func agedFindings(stored []banyanplank.Finding, age time.Duration) (findings []banyanplank.Finding) {
	for _, f := range stored {
		f.Age += age
		f.Remaining -= age
		if f.Kind == banyanplank.FindingDeath && f.Age < staleFindingsAge || f.Remaining > 0 {
			findings = append(findings, f)
		}
	}
	return findings
}

// saveFindings saves the findings of this entry unless they are the same as saved. It
// reports whether they are saved.
func (d *Daemon) saveFindings(ctx context.Context, saved *savedFindings) (ok bool) {
	if d.findingsLost.Swap(false) {
		saved.isKnown = !saved.hasWritten
	}
	findings := d.gateway.crashTracker.FindingsToSave(time.Now())
	summary := summarize(findings)
	if summary == saved.summary && saved.isKnown {
		return true
	}
	saved.hasWritten = true
	err := d.findings.SaveFindings(ctx, d.self.ID, banyanplank.StoredFindings{At: time.Now(), Findings: findings})
	if err != nil {
		d.logger.Warn().Err(err).Int("findings", len(findings)).Msg("findings not saved")
		return false
	}
	saved.summary, saved.isKnown = summary, true
	d.logger.Info().Int("findings", len(findings)).Str("content", summary).Msg("findings saved")
	return true
}

// summarize returns what findings are about, and how long convictions last, without their
// ages.
func summarize(findings []banyanplank.Finding) (summary string) {
	var b strings.Builder
	for _, f := range findings {
		length := time.Duration(0)
		if f.Kind == banyanplank.FindingConvicted {
			length = (f.Age + f.Remaining).Round(time.Minute)
		}
		_, _ = fmt.Fprintf(&b, "%d:%x:%v:%s ", f.Kind, uint64(f.Death), f.Parts, length)
	}
	return b.String()
}
