// Package carrier defines the messages that carry requests from an entry to an
// agent and answers back, and converts them to and from the domain types.
package carrier

import (
	"net/http"
	"sort"
	"time"

	"github.com/banyanplank/banyanplank"
)

// NewOpen returns the message that requests an agent to run request. Its
// timeout is the time remaining from now until the deadline, so that the
// clocks of entry and agent may differ.
func NewOpen(now time.Time, request *banyanplank.Request, incarnation banyanplank.Incarnation) (open *Open) {
	return &Open{
		Id:          string(request.ID),
		Attempt:     string(request.Attempt),
		Account:     string(request.Account),
		Service:     string(request.Service),
		Method:      request.Method,
		Path:        request.Path,
		Header:      encodeHeader(request.Header),
		Body:        request.Body,
		Key:         request.Key,
		Once:        request.AtMostOnce,
		Stream:      request.Stream,
		Timeout:     int64(request.Deadline.Sub(now)),
		Priority:    int32(request.Priority),
		Demand:      encodeDemand(request.Demand),
		Offset:      request.Offset,
		Revision:    uint64(request.Revision),
		Incarnation: uint64(incarnation),
		Binding:     encodeBinding(request.Binding),
		Join:        request.AttachOnly,
		Findings:    EncodeFindings(request.Findings),
	}
}

// encodeBinding returns nil for a binding that names no agent.
func encodeBinding(binding banyanplank.Binding) (message *Binding) {
	if !binding.IsBound() {
		return nil
	}
	return &Binding{
		Daemon:      string(binding.Daemon),
		Incarnation: uint64(binding.Incarnation),
		Generation:  binding.Generation,
		Call:        binding.Call[:],
		Until:       binding.StartDeadline.UnixNano(),
	}
}

func decodeBinding(message *Binding) (binding banyanplank.Binding) {
	if message == nil {
		return binding
	}
	copy(binding.Call[:], message.GetCall())
	binding.Daemon = banyanplank.DaemonID(message.GetDaemon())
	binding.Incarnation = banyanplank.Incarnation(message.GetIncarnation())
	binding.Generation = message.GetGeneration()
	binding.StartDeadline = time.Unix(0, message.GetUntil())
	return binding
}

// Request returns the request in the message. Its deadline is now plus the
// timeout in the message.
func (x *Open) Request(now time.Time) (request *banyanplank.Request) {
	return &banyanplank.Request{
		ID:         banyanplank.RequestID(x.GetId()),
		Attempt:    banyanplank.AttemptID(x.GetAttempt()),
		Account:    banyanplank.AccountID(x.GetAccount()),
		Service:    banyanplank.ServiceName(x.GetService()),
		Method:     x.GetMethod(),
		Path:       x.GetPath(),
		Header:     decodeHeader(x.GetHeader()),
		Body:       x.GetBody(),
		Key:        x.GetKey(),
		AtMostOnce: x.GetOnce(),
		Stream:     x.GetStream(),
		Deadline:   now.Add(time.Duration(x.GetTimeout())),
		Priority:   int(x.GetPriority()),
		Demand:     decodeDemand(x.GetDemand()),
		Offset:     x.GetOffset(),
		Revision:   banyanplank.Revision(x.GetRevision()),
		Binding:    decodeBinding(x.GetBinding()),
		AttachOnly: x.GetJoin(),
		Findings:   DecodeFindings(x.GetFindings()),
	}
}

// encodeHeader sorts the fields by name, so that equal headers encode to equal
// bytes.
func encodeHeader(header http.Header) (fields []*Field) {
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fields = append(fields, &Field{Name: name, Values: header[name]})
	}
	return fields
}

func decodeHeader(fields []*Field) (header http.Header) {
	header = make(http.Header, len(fields))
	for _, field := range fields {
		header[http.CanonicalHeaderKey(field.GetName())] = field.GetValues()
	}
	return header
}

func encodeDemand(demand banyanplank.Demand) (message *Demand) {
	return &Demand{
		Prompt:  int32(demand.PromptTokens),
		Longest: int32(demand.MaxOutputTokens),
		Prefix:  demand.PrefixHashes,
		Model:   demand.Model,
		Adapter: demand.Adapter,
	}
}

// decodeDemand replaces negative token counts with zero.
func decodeDemand(message *Demand) (demand banyanplank.Demand) {
	return banyanplank.Demand{
		PromptTokens:    max(0, int(message.GetPrompt())),
		MaxOutputTokens: max(0, int(message.GetLongest())),
		PrefixHashes:    message.GetPrefix(),
		Model:           message.GetModel(),
		Adapter:         message.GetAdapter(),
	}
}

// NewRefused returns the message for a refusal.
func NewRefused(refusal *banyanplank.Refusal) (message *Refused) {
	return &Refused{
		Outcome: string(refusal.Outcome),
		Reason:  string(refusal.Reason),
		Retry:   int64(refusal.RetryAfter),
		Detail:  refusal.Detail,
	}
}

// Refusal returns the refusal in the message. An outcome that this version
// does not recognize becomes [banyanplank.OutcomeUnknown].
func (x *Refused) Refusal() (refusal *banyanplank.Refusal) {
	outcome := banyanplank.Outcome(x.GetOutcome())
	if outcome != banyanplank.NotRun && outcome != banyanplank.Ran {
		outcome = banyanplank.OutcomeUnknown
	}
	return &banyanplank.Refusal{
		Outcome:    outcome,
		Reason:     banyanplank.Reason(x.GetReason()),
		RetryAfter: time.Duration(x.GetRetry()),
		Detail:     x.GetDetail(),
	}
}

// NewLoad returns the message for a load report.
func NewLoad(report banyanplank.LoadReport) (message *Load) {
	return &Load{
		Daemon:      string(report.Daemon),
		Incarnation: uint64(report.Incarnation),
		Sequence:    report.Sequence,
		Limit:       int64(report.Limit),
		Held:        int64(report.Held),
		Queued:      int64(report.QueuedTokens),
		Waiting:     int32(report.Waiting),
		Prefill:     report.PrefillRate,
		Step:        int64(report.StepTime),
		Cold:        report.Cold,
		Closed:      report.Closed,
		Models:      report.Models,
		Adapters:    report.Adapters,
		Findings:    EncodeFindings(report.Findings),
	}
}

// Report returns the load report in the message.
func (x *Load) Report() (report banyanplank.LoadReport) {
	return banyanplank.LoadReport{
		Daemon:       banyanplank.DaemonID(x.GetDaemon()),
		Incarnation:  banyanplank.Incarnation(x.GetIncarnation()),
		Sequence:     x.GetSequence(),
		Limit:        int(x.GetLimit()),
		Held:         int(x.GetHeld()),
		QueuedTokens: int(x.GetQueued()),
		Waiting:      int(x.GetWaiting()),
		PrefillRate:  x.GetPrefill(),
		StepTime:     time.Duration(x.GetStep()),
		Cold:         x.GetCold(),
		Closed:       x.GetClosed(),
		Models:       x.GetModels(),
		Adapters:     x.GetAdapters(),
		Findings:     DecodeFindings(x.GetFindings()),
	}
}
