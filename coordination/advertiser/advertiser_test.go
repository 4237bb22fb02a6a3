package advertiser_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/advertiser"
)

const (
	callers = 10_000
	entries = 24
)

func fleet() (members []banyanplank.Member) {
	for i := range entries {
		members = append(members, banyanplank.Member{
			ID: banyanplank.DaemonID(fmt.Sprintf("entry-%d", i)), Role: banyanplank.RoleEntry,
			Zone: banyanplank.Zone(fmt.Sprintf("zone-%d", i%3)),
		})
	}
	return append(members, banyanplank.Member{ID: "agent", Role: banyanplank.RoleAgent, Zone: "zone-0"})
}

func inService(banyanplank.Zone) bool { return false }

// choose returns the answer of every caller.
func choose(members []banyanplank.Member, out func(banyanplank.Zone) bool) (answers [][]banyanplank.Member) {
	a := advertiser.New()
	for i := range callers {
		answers = append(answers, a.Advertise(fmt.Sprintf("account-%d/10.0.%d.%d", i%10, i>>8, i&255), members, out))
	}
	return answers
}

func TestSpreadIsEvenAndAcrossZones(t *testing.T) {
	is := is.New(t)
	first := map[banyanplank.DaemonID]int{}
	for _, answer := range choose(fleet(), inService) {
		is.Equal(len(answer), advertiser.DefaultCount)
		first[answer[0].ID]++
		zones := map[banyanplank.Zone]bool{}
		for _, m := range answer {
			is.Equal(m.Role, banyanplank.RoleEntry)
			zones[m.Zone] = true
		}
		is.Equal(len(zones), 3)
	}
	mean := callers / entries
	for id, count := range first {
		if count < mean*3/4 || count > mean*5/4 {
			t.Errorf("%s is first for %d callers, the mean is %d", id, count, mean)
		}
	}
}

func TestOnlyCallersOfAChangedEntryMove(t *testing.T) {
	is := is.New(t)
	members := fleet()
	before := choose(members, inService)
	members[5].State = banyanplank.MemberLeaving
	after := choose(members, inService)
	for i := range callers {
		if before[i][0].ID != "entry-5" {
			is.Equal(after[i][0].ID, before[i][0].ID)
		} else {
			is.True(!slices.ContainsFunc(after[i], func(m banyanplank.Member) bool { return m.ID == "entry-5" }))
		}
	}
}

func TestZoneOutIsNotHandedOut(t *testing.T) {
	is := is.New(t)
	out := func(zone banyanplank.Zone) bool { return zone == "zone-1" }
	for _, answer := range choose(fleet(), out) {
		is.Equal(len(answer), advertiser.DefaultCount)
		for _, m := range answer {
			is.True(m.Zone != "zone-1")
		}
	}
	is.Equal(len(advertiser.New().Advertise("c", nil, out)), 0)
}
