package soak_test

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank/soak"
)

// TestSeed plays one seed against the real daemon. Seeds that have failed are
// listed here with a line on the cause.
func TestSeed(t *testing.T) {
	if testing.Short() {
		t.Skip("plays once, without the race detector")
	}
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "banyanplank-entry")
	output, err := exec.Command("go", "build", "-o", program, "../platform/banyanplank-entry").CombinedOutput()
	is.NoErr(err)
	is.Equal(string(output), "")
	report, err := soak.Run(t.Context(), soak.WithEntry(program), soak.WithSeed(7))
	is.NoErr(err)
	is.True(len(report.Faults) > 5)
	for _, p := range report.Promises {
		is.Equal(len(p.Broken), 0)
		is.True(p.Checked > 0 || strings.Contains(p.Name, "refused"))
	}
	var page, text bytes.Buffer
	is.NoErr(report.WriteHTML(&page))
	is.NoErr(report.WriteJSON(&text))
	is.True(strings.Contains(page.String(), "Soak, seed 7"))
	is.True(strings.Contains(text.String(), `"seed": 7`))
}
