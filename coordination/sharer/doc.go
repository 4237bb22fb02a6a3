// Package sharer decides which calls of a service are admitted when the demand of
// all entries together exceeds what the service finishes in time.
//
// Every entry announces its demand in heartbeats, adds up what all entries
// announced, and divides the capacity by the same rules: first by priority, then
// by max-min fairness among the client accounts of a priority. The result is a
// fraction for each priority and account, which the entry applies to its own
// calls. No entry decides for others, and nothing is stored outside the entries.
// See docs/design/admission-shares.md.
//
// All quantities of demand and capacity are in slot-seconds per second: the
// number of slots of engines that are occupied on average.
package sharer
