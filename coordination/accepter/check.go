package accepter

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// ErrInvalid means that a configuration violates a rule of [Check].
var ErrInvalid = errors.New("invalid configuration")

// maxNameBytes is the largest length of a name, in bytes.
const maxNameBytes = 128

// Check rejects names that are empty, too long or duplicate, references to
// undeclared items, and limits below zero. The error is [ErrInvalid] and lists
// the violations, up to 100, each with its path.
func Check(configuration *banyanplank.Configuration) (err error) {
	c := &checker{}
	zones := c.checkNames("zones", len(configuration.Zones), func(i int) string { return string(configuration.Zones[i].Name) })
	services := c.checkNames("services", len(configuration.Services), func(i int) string { return string(configuration.Services[i].Name) })
	c.checkNames("groups", len(configuration.Groups), func(i int) string { return string(configuration.Groups[i].Name) })
	c.checkNames("accounts", len(configuration.Accounts), func(i int) string { return string(configuration.Accounts[i].Name) })
	for i, g := range configuration.Groups {
		c.checkGroup(fmt.Sprintf("groups[%d]", i), g, zones, services)
	}
	for i, a := range configuration.Accounts {
		c.checkAccount(fmt.Sprintf("accounts[%d]", i), a)
	}
	if len(c.violations) == 0 {
		return nil
	}
	return errors.Wrap(ErrInvalid, strings.Join(c.violations, "; "))
}

// maxViolations is the largest number of violations that one error lists.
const maxViolations = 100

// checker collects violations.
type checker struct {
	violations []string
}

// add records a violation at path.
func (c *checker) add(path, format string, values ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, path+": "+fmt.Sprintf(format, values...))
	}
}

// checkNames checks the names of one kind of item and returns them as a set.
func (c *checker) checkNames(kind string, count int, name func(int) string) (declared map[string]bool) {
	declared = make(map[string]bool, count)
	for i := range count {
		n, path := name(i), fmt.Sprintf("%s[%d].name", kind, i)
		switch {
		case n == "":
			c.add(path, "is empty")
		case len(n) > maxNameBytes:
			c.add(path, "has %d bytes, at most %d are allowed", len(n), maxNameBytes)
		case declared[n]:
			c.add(path, "%q is declared twice", n)
		}
		declared[n] = true
	}
	return declared
}

// checkGroup checks the references and limits of a group.
func (c *checker) checkGroup(path string, g banyanplank.GroupSpec, zones, services map[string]bool) {
	if !services[string(g.Service)] {
		c.add(path+".service", "%q is not declared", g.Service)
	}
	for j, z := range g.Zones {
		if !zones[string(z)] {
			c.add(fmt.Sprintf("%s.zones[%d]", path, j), "%q is not declared", z)
		}
	}
	c.checkNotNegative(path+".ranks", float64(g.Ranks))
	c.checkNotNegative(path+".layers", float64(g.Layers))
	c.checkNotNegative(path+".experts", float64(g.Experts))
	c.checkNotNegative(path+".slots", float64(g.Slots))
	c.checkNotNegative(path+".bytes", float64(g.MaxBytesPerMinute))
	c.checkNotNegative(path+".gain", g.MinGain)
}

// checkAccount checks the limits of an account.
func (c *checker) checkAccount(path string, a banyanplank.AccountSpec) {
	c.checkNotNegative(path+".weight", float64(a.Weight))
	c.checkNotNegative(path+".rate", a.MaxRate)
	c.checkNotNegative(path+".concurrent", float64(a.MaxConcurrent))
}

// checkNotNegative requires a value of at least zero. It rejects NaN.
func (c *checker) checkNotNegative(path string, value float64) {
	if !(value >= 0) {
		c.add(path, "is %v, must not be below 0", value)
	}
}
