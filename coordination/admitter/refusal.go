package admitter

import (
	"fmt"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The retry delays that are recommended to callers.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// closedRetryAfter is the delay while the admitter is closed.
	closedRetryAfter = time.Second
)

// retryAfter returns d rounded up to whole seconds, within the bounds of retry
// delays.
func retryAfter(d time.Duration) time.Duration {
	whole := (d + time.Second - 1).Truncate(time.Second)
	return min(maxRetryAfter, max(minRetryAfter, whole))
}

func lateRefusal(delay time.Duration, detail string) *banyanplank.Refusal {
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     banyanplank.ReasonDeadline,
		RetryAfter: retryAfter(delay),
		Detail:     detail,
	}
}

func fullRefusal() *banyanplank.Refusal {
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     banyanplank.ReasonOverload,
		RetryAfter: minRetryAfter,
		Detail:     "the endpoint's queue is full",
	}
}

func closedRefusal(reason banyanplank.Reason) *banyanplank.Refusal {
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     reason,
		RetryAfter: closedRetryAfter,
		Detail:     "the endpoint admits no new requests",
	}
}

func canceledRefusal() *banyanplank.Refusal {
	return &banyanplank.Refusal{
		Outcome: banyanplank.NotRun,
		Reason:  banyanplank.ReasonCanceled,
		Detail:  "the caller canceled the request before it started",
	}
}

func invalidRefusal(tokens, capacity int) *banyanplank.Refusal {
	return &banyanplank.Refusal{
		Outcome: banyanplank.NotRun,
		Reason:  banyanplank.ReasonInvalid,
		Detail:  fmt.Sprintf("the request needs up to %d tokens but the capacity is %d", tokens, capacity),
	}
}
