package admitter

import (
	"fmt"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The advice for callers when to come back.
const (
	// leastRetry is the shortest advice.
	leastRetry = time.Second
	// mostRetry is the longest advice.
	mostRetry = time.Minute
	// closedRetry is the advice while the agent admits nothing.
	closedRetry = time.Second
)

// retryAfter rounds d up to whole seconds within the bounds for advice.
func retryAfter(d time.Duration) time.Duration {
	whole := (d + time.Second - 1).Truncate(time.Second)
	return min(mostRetry, max(leastRetry, whole))
}

func lateRefusal(late time.Duration, detail string) *banyanplank.Refusal {
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     banyanplank.ReasonDeadline,
		RetryAfter: retryAfter(late),
		Detail:     detail,
	}
}

func fullRefusal() *banyanplank.Refusal {
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     banyanplank.ReasonOverload,
		RetryAfter: leastRetry,
		Detail:     "the endpoint's queue is full",
	}
}

func closedRefusal(reason banyanplank.Reason) *banyanplank.Refusal {
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     reason,
		RetryAfter: closedRetry,
		Detail:     "the endpoint takes no new work",
	}
}

func canceledRefusal() *banyanplank.Refusal {
	return &banyanplank.Refusal{
		Outcome: banyanplank.NotRun,
		Reason:  banyanplank.ReasonCanceled,
		Detail:  "the caller gave up while the request waited",
	}
}

func invalidRefusal(tokens, capacity int) *banyanplank.Refusal {
	return &banyanplank.Refusal{
		Outcome: banyanplank.NotRun,
		Reason:  banyanplank.ReasonInvalid,
		Detail:  fmt.Sprintf("the request may hold %d tokens, the endpoint %d", tokens, capacity),
	}
}
