package parser

import (
	"fmt"
	"math"
	"regexp"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Limits on the values of a configuration.
const (
	maxRanks             = 4096
	maxLayers            = 1024
	maxExperts           = 65536
	maxWeight            = 1000
	maxPriority          = 100
	maxRequestsPerSecond = 1e6
	maxConcurrent        = 1_000_000
	maxLatencyObjective  = time.Hour
	day                  = 24 * time.Hour
)

// Descriptions of the allowed values.
const (
	allowedName = "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit"
	allowedPath = "a path prefix that begins with / and has neither spaces nor control characters"
	allowedKey  = "64 hexadecimal digits in lower case, the SHA-256 digest of the secret key"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	pathPattern = regexp.MustCompile(`^/[!-~]*$`)
	keyPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker validates one configuration.
type checker struct {
	*reporter
	// isBound reports whether a field was read; one that was not is already
	// reported.
	isBound  func(field string) bool
	zones    map[banyanplank.Zone]bool
	services map[banyanplank.ServiceName]banyanplank.ServiceKind
}

// check reports every mistake in a configuration.
func check(configuration *banyanplank.Configuration, isBound func(string) bool, r *reporter) {
	c := &checker{
		reporter: r,
		isBound:  isBound,
		zones:    make(map[banyanplank.Zone]bool),
		services: make(map[banyanplank.ServiceName]banyanplank.ServiceKind),
	}
	c.checkZones(configuration.Zones)
	c.checkServices(configuration.Services)
	c.checkGroups(configuration.Groups)
	c.checkAccounts(configuration.Accounts)
}

// require reports value unless ok holds or the field is already reported.
func (c *checker) require(ok bool, field string, value any, allowed string) {
	if !ok && c.isBound(field) {
		c.report(field, value, allowed)
	}
}

func (c *checker) requireName(field, name string) {
	c.require(namePattern.MatchString(name), field, name, allowedName)
}

// requireRange checks that an integer is between minimum and maximum, inclusive.
func (c *checker) requireRange(field string, value, minimum, maximum int64) {
	ok := value >= minimum && value <= maximum
	c.require(ok, field, value, fmt.Sprintf("%d to %d", minimum, maximum))
}

// unique returns a function that requires each non-empty name to occur only
// once in a list.
func (c *checker) unique(list string) (require func(field, name string)) {
	seen := make(map[string]bool)
	return func(field, name string) {
		c.require(!seen[name] || name == "", field, name, "a value that occurs only once in "+list)
		seen[name] = true
	}
}

func (c *checker) checkZones(zones []banyanplank.ZoneSpec) {
	requireUnique := c.unique("zones")
	for i, z := range zones {
		path := itemPath("zones", i, string(z.Name))
		c.requireName(joinPath(path, "name"), string(z.Name))
		requireUnique(joinPath(path, "name"), string(z.Name))
		c.requireName(joinPath(path, "region"), string(z.Region))
		c.zones[z.Name] = true
	}
}

func (c *checker) checkServices(services []banyanplank.ServiceSpec) {
	requireUnique := c.unique("services")
	for i, s := range services {
		path := itemPath("services", i, string(s.Name))
		c.requireName(joinPath(path, "name"), string(s.Name))
		requireUnique(joinPath(path, "name"), string(s.Name))
		isKnown := s.Kind == banyanplank.ServiceModel || s.Kind == banyanplank.ServicePlain
		c.require(isKnown, joinPath(path, "kind"), string(s.Kind), `"model" or "plain"`)
		c.checkAtMostOncePaths(joinPath(path, "once"), s.AtMostOncePaths)
		c.checkObjective(joinPath(path, "objective"), s.Kind, s.Objective)
		c.services[s.Name] = s.Kind
	}
}

func (c *checker) checkAtMostOncePaths(path string, prefixes []string) {
	requireUnique := c.unique(path)
	for i, prefix := range prefixes {
		field := itemPath(path, i, "")
		c.require(pathPattern.MatchString(prefix), field, prefix, allowedPath)
		requireUnique(field, prefix)
	}
}

func (c *checker) checkObjective(path string, kind banyanplank.ServiceKind, o banyanplank.Objective) {
	c.requireShare(joinPath(path, "availability"), o.Availability)
	c.requireShare(joinPath(path, "share"), o.LatencyShare)
	c.requireDuration(joinPath(path, "first"), o.MaxFirstToken, maxLatencyObjective)
	c.requireDuration(joinPath(path, "between"), o.MaxTokenInterval, maxLatencyObjective)
	hasLatencyBound := o.MaxFirstToken != 0 || o.MaxTokenInterval != 0
	c.require(o.LatencyShare == 0 || hasLatencyBound, joinPath(path, "share"), o.LatencyShare, "only with first or between")
	c.require(!hasLatencyBound || o.LatencyShare != 0 || !c.isBound(joinPath(path, "share")), joinPath(path, "share"), o.LatencyShare, "a share with first and between, such as 0.95")
	isPlain := kind == banyanplank.ServicePlain
	c.require(!isPlain || o.MaxTokenInterval == 0, joinPath(path, "between"), time.Duration(o.MaxTokenInterval), "only for services of kind model")
}

// requireShare checks an optional share; zero means that it is absent.
func (c *checker) requireShare(field string, share float64) {
	c.require(share >= 0 && share < 1, field, share, "0 or more and less than 1, such as 0.999; 0 means no objective")
}

// requireDuration checks that a duration is between zero and maximum.
func (c *checker) requireDuration(field string, duration banyanplank.Duration, maximum time.Duration) {
	d := time.Duration(duration)
	c.require(d >= 0 && d <= maximum, field, d, fmt.Sprintf("0s to %s", maximum))
}

func (c *checker) checkGroups(groups []banyanplank.GroupSpec) {
	requireUnique := c.unique("groups")
	for i, g := range groups {
		path := itemPath("groups", i, string(g.Name))
		c.requireName(joinPath(path, "name"), string(g.Name))
		requireUnique(joinPath(path, "name"), string(g.Name))
		c.checkReferences(path, g)
		c.checkShape(path, g)
		c.require(g.MaxBytesPerMinute >= 0, joinPath(path, "bytes"), g.MaxBytesPerMinute, "0 or more bytes a minute; 0 means no limit")
		c.require(g.MinGain >= 0 && g.MinGain < 1, joinPath(path, "gain"), g.MinGain, "0 or more and less than 1, such as 0.05")
		for j, q := range g.QuietSpans {
			c.checkQuietSpan(itemPath(joinPath(path, "quiet"), j, ""), q)
		}
	}
}

// checkReferences checks that the service and zones of a group are declared.
func (c *checker) checkReferences(path string, g banyanplank.GroupSpec) {
	kind, ok := c.services[g.Service]
	c.require(ok && kind != banyanplank.ServicePlain, joinPath(path, "service"), string(g.Service), "the name of a service of kind model")
	c.require(len(g.Zones) > 0, joinPath(path, "zones"), description("an empty array"), "the names of one or more zones")
	requireUnique := c.unique(joinPath(path, "zones"))
	for i, zone := range g.Zones {
		field := itemPath(joinPath(path, "zones"), i, "")
		c.require(c.zones[zone], field, string(zone), "the name of a declared zone")
		requireUnique(field, string(zone))
	}
}

// checkShape checks the size of a group and that its ranks have enough slots for
// all experts.
func (c *checker) checkShape(path string, g banyanplank.GroupSpec) {
	c.requireRange(joinPath(path, "ranks"), int64(g.Ranks), 1, maxRanks)
	c.requireRange(joinPath(path, "layers"), int64(g.Layers), 1, maxLayers)
	c.requireRange(joinPath(path, "experts"), int64(g.Experts), 1, maxExperts)
	c.requireRange(joinPath(path, "slots"), int64(g.Slots), 1, maxExperts)
	if g.Ranks < 1 || g.Ranks > maxRanks || g.Experts < 1 || g.Slots < 1 || g.Slots > maxExperts {
		return
	}
	minimum := (g.Experts + g.Ranks - 1) / g.Ranks
	c.require(g.Slots >= minimum, joinPath(path, "slots"), g.Slots, fmt.Sprintf("%d or more, so that %d ranks hold %d experts", minimum, g.Ranks, g.Experts))
}

func (c *checker) checkQuietSpan(path string, q banyanplank.QuietSpan) {
	c.requireDuration(joinPath(path, "from"), q.From, day)
	c.requireDuration(joinPath(path, "until"), q.Until, day)
	areBound := c.isBound(joinPath(path, "from")) && c.isBound(joinPath(path, "until"))
	c.require(!areBound || q.From != q.Until, joinPath(path, "until"), time.Duration(q.Until), "a time other than from")
}

// redact describes a key only by its length, since an operator may have entered
// the secret itself instead of its digest.
func redact(key string) (text description) {
	return description(fmt.Sprintf("a text of %d bytes", len(key)))
}

func (c *checker) checkAccounts(accounts []banyanplank.AccountSpec) {
	requireUnique := c.unique("accounts")
	keys := make(map[string]bool)
	for i, a := range accounts {
		path := itemPath("accounts", i, string(a.Name))
		c.requireName(joinPath(path, "name"), string(a.Name))
		requireUnique(joinPath(path, "name"), string(a.Name))
		c.require(keyPattern.MatchString(a.KeyDigest), joinPath(path, "key"), redact(a.KeyDigest), allowedKey)
		c.require(!keys[a.KeyDigest] || a.KeyDigest == "", joinPath(path, "key"), redact(a.KeyDigest), "a key that no other account has")
		keys[a.KeyDigest] = true
		c.requireRange(joinPath(path, "weight"), int64(a.Weight), 0, maxWeight)
		c.requireRange(joinPath(path, "priority"), int64(a.Priority), -maxPriority, maxPriority)
		c.requireRange(joinPath(path, "concurrent"), int64(a.MaxConcurrent), 0, maxConcurrent)
		isValidRate := a.MaxRate >= 0 && a.MaxRate <= maxRequestsPerSecond && !math.IsNaN(a.MaxRate)
		c.require(isValidRate, joinPath(path, "rate"), a.MaxRate, fmt.Sprintf("0 to %d requests a second; 0 means no limit", int64(maxRequestsPerSecond)))
	}
}
