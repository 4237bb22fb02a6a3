package soak_test

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank/soak"
)

// TestRunKeepsPromises guards against faults that make the real daemon break a promise, and
// against a promise that no seed checks.
func TestRunKeepsPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped with -short, which CI uses for its run with the race detector")
	}
	seeds := map[string]uint64{
		"usual": 7,
		// Guards against refusing, along with the crashing request, a request that all
		// callers send in the same form.
		"crashing request": 1,
		// Servers request a pause, and the responses of one are lost on the link.
		"pausing servers": 112,
		// Guards against entries that miss changes for good once the store returns from an
		// older copy, here a zone out of service at a revision that was given out before.
		"returning store": 32,
	}
	program := filepath.Join(t.TempDir(), "banyanplank-entry")
	output, err := exec.Command("go", "build", "-o", program, "../platform/banyanplank-entry").CombinedOutput()
	is.New(t).NoErr(err)
	is.New(t).Equal(string(output), "")
	checked := make(map[string]int)
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			report, err := soak.Run(t.Context(), soak.WithEntry(program), soak.WithSeed(seed))
			is.NoErr(err)
			is.True(len(report.Faults) > 5)
			for _, p := range report.Promises {
				is.Equal(p.Broken, nil)
				checked[p.Name] += p.Checked
			}
			var page, text bytes.Buffer
			is.NoErr(report.WriteHTML(&page))
			is.NoErr(report.WriteJSON(&text))
			is.True(strings.Contains(page.String(), fmt.Sprintf("Soak, seed %d", seed)))
			is.True(strings.Contains(text.String(), fmt.Sprintf(`"seed": %d`, seed)))
		})
	}
	for name, count := range checked {
		is.New(t).True(count > 0 || strings.Contains(name, "refused"))
	}
}
