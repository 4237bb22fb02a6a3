package rebalancer

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/aggregator"
	"github.com/banyanplank/banyanplank/coordination/planner"
	"github.com/banyanplank/banyanplank/coordination/switcher"
)

// Status is the state of a group as shown to operators.
type Status struct {
	Group banyanplank.GroupName `json:"group"`
	Phase switcher.Phase        `json:"phase"`
	Fence uint64                `json:"fence"`
	Map   banyanplank.MapID     `json:"map"`
	// Held is set while rebalancing is paused or in quiet hours.
	Held bool `json:"held"`
	// Problem is the reason why no plan can be made.
	Problem string `json:"problem,omitempty"`
	// Plan is the latest plan.
	Plan PlanStatus `json:"plan"`
	// Skew is the maximum load of a rank over the mean, at each of the latest
	// plans.
	Skew []float64 `json:"skew"`
	// Stalls lists the ranks that delay the others.
	Stalls []StallStatus `json:"stalls"`
	// Loads holds the loads of the ranks under the current map, relative to
	// their mean.
	Loads []float64 `json:"loads"`
	// Before and After are the loads before and after the latest plan that moved
	// experts.
	Before []float64 `json:"before"`
	After  []float64 `json:"after"`
}

// IsCoordinator reports whether the status comes from the coordinator that holds
// the group's lease.
func (s Status) IsCoordinator() bool { return s.Phase != switcher.Standby }

// PlanStatus summarizes a plan.
type PlanStatus struct {
	Map    banyanplank.MapID `json:"map"`
	Reason planner.Reason    `json:"reason"`
	// Loads is the number of slots to fill, Bytes the size of their weights.
	Loads int   `json:"loads"`
	Bytes int64 `json:"bytes"`
	// Gain is the step time saved over the horizon, Cost the step time lost by
	// the moves and the switch.
	Gain time.Duration `json:"gain"`
	Cost time.Duration `json:"cost"`
	// Before and After are the skew under the map before and after the plan.
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	// Pending counts, over all layers, the replicas left on excluded ranks
	// because their expert has no usable replica yet.
	Pending int `json:"pending"`
}

// StallStatus describes a rank that delays the others.
type StallStatus struct {
	Rank       int                  `json:"rank"`
	Kind       aggregator.StallKind `json:"kind"`
	Since      time.Time            `json:"since"`
	Persistent bool                 `json:"lasting"`
}

// Status returns the state of the group at now.
func (r *Rebalancer) Status(now time.Time) (status Status) {
	status = Status{
		Group: r.spec.Name,
		Phase: r.coordinator.Phase(),
		Fence: r.coordinator.Fence(),
		Held:  r.isHeld(now),
		Plan: PlanStatus{
			Map:     r.latestPlan.Map.ID,
			Reason:  r.latestPlan.Reason,
			Loads:   r.latestPlan.Loads,
			Bytes:   int64(r.latestPlan.Loads) * r.spec.ExpertBytes,
			Gain:    r.latestPlan.Gain,
			Cost:    r.latestPlan.Cost,
			Before:  r.latestPlan.SkewBefore,
			After:   r.latestPlan.SkewAfter,
			Pending: r.latestPlan.Pending,
		},
		Skew:   append([]float64{}, r.skewHistory...),
		Before: r.loadsBefore,
		After:  r.loadsAfter,
	}
	for _, err := range []error{r.demandErr, r.planErr} {
		if err != nil {
			status.Problem = err.Error()
		}
	}
	for _, s := range r.stalls {
		status.Stalls = append(status.Stalls, StallStatus{Rank: s.Rank, Kind: s.Kind, Since: s.Since, Persistent: s.Persistent})
	}
	if current, ok := r.coordinator.Current(); ok {
		status.Map = current.ID
		status.Loads = r.loads
	}
	return status
}

// rankLoads returns the load of each rank relative to the mean, summed over all
// layers. It returns nil if the shapes differ.
func rankLoads(m banyanplank.ExpertMap, popularity banyanplank.Popularity) (loads []float64) {
	if popularity.Shape != m.Shape {
		return nil
	}
	loads = make([]float64, m.Shape.Ranks)
	total := 0.0
	for layer := range m.Shape.Layers {
		replicas := make([]float64, m.Shape.Experts)
		for _, e := range m.Layer(layer) {
			if e != banyanplank.NoExpert {
				replicas[e]++
			}
		}
		for i, e := range m.Layer(layer) {
			if e != banyanplank.NoExpert {
				share := float64(popularity.Layer(layer)[e]) / replicas[e]
				loads[i/m.Shape.Slots] += share
				total += share
			}
		}
	}
	for i := range loads {
		if total > 0 {
			loads[i] *= float64(len(loads)) / total
		}
	}
	return loads
}
