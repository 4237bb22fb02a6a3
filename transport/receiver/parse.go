package receiver

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/holder"
)

// bytesPerToken is used to estimate the number of prompt tokens from JSON text.
const bytesPerToken = 4

// HeaderTimeoutMillis is the header field for the caller's time limit in
// milliseconds.
const HeaderTimeoutMillis = "X-Timeout-Ms"

// forwardedHeaders lists the header fields that are forwarded to the endpoint.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "Traceparent", "Tracestate", "User-Agent",
}

// authenticate returns the client account of the bearer key in request.
func (r *Receiver) authenticate(request *http.Request) (account banyanplank.AccountSpec, err error) {
	key, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return account, newRefusal(banyanplank.ReasonForbidden, "send the client account's key as Authorization: Bearer")
	}
	digest := sha256.Sum256([]byte(key))
	account, ok = r.keeper.View().Account(hex.EncodeToString(digest[:]))
	if !ok {
		return account, newRefusal(banyanplank.ReasonForbidden, "no client account has this key")
	}
	return account, nil
}

// readRequest builds a request without its service and demand. The caller must
// release the returned reservation, which accounts for the memory of the body.
func (r *Receiver) readRequest(w http.ResponseWriter, incoming *http.Request) (request *banyanplank.Request, reservation *holder.Reservation, err error) {
	account, err := r.authenticate(incoming)
	if err != nil {
		return nil, nil, err
	}
	timeout, err := r.callTimeout(incoming)
	if err != nil {
		return nil, nil, err
	}
	reservation = r.bodyHolder.Reserve(account.Name)
	body, err := r.readBody(w, incoming, reservation)
	if err != nil {
		reservation.Release()
		return nil, nil, err
	}
	view := r.keeper.View()
	return &banyanplank.Request{
		ID:       r.newRequestID(),
		Account:  account.Name,
		Method:   incoming.Method,
		Header:   selectHeader(incoming.Header),
		Body:     body,
		Key:      incoming.Header.Get("Idempotency-Key"),
		Deadline: time.Now().Add(timeout),
		Priority: account.Priority,
		Revision: view.Configuration.Revision,
	}, reservation, nil
}

// callTimeout returns the time limit of the call. The caller can only shorten the
// configured limit.
func (r *Receiver) callTimeout(incoming *http.Request) (timeout time.Duration, err error) {
	text := incoming.Header.Get(HeaderTimeoutMillis)
	if text == "" {
		return r.timeout, nil
	}
	millis, err := strconv.Atoi(text)
	if err != nil || millis <= 0 {
		return 0, newInvalid(fmt.Sprintf("%s is %q, want a positive number of milliseconds", HeaderTimeoutMillis, text))
	}
	return min(time.Duration(millis)*time.Millisecond, r.timeout), nil
}

// readBody reads the body within the limits of size, memory and time.
func (r *Receiver) readBody(w http.ResponseWriter, incoming *http.Request, reservation *holder.Reservation) (body []byte, err error) {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(BodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, newInvalid("cannot set the read deadline of the connection")
	}
	body, err = io.ReadAll(&reservingReader{reader: http.MaxBytesReader(w, incoming.Body, r.maxBodyBytes), reservation: reservation})
	if errors.Is(err, errBodyBudget) {
		return nil, &banyanplank.Refusal{
			Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonLimit, RetryAfter: time.Second,
			Detail: "the request bodies of this client account, or of all accounts, use up their memory budget",
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newInvalid(fmt.Sprintf("the request body is larger than %d bytes", r.maxBodyBytes))
	}
	if err != nil {
		return nil, newInvalid("the request body was incomplete or too slow")
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, newInvalid("cannot set the read deadline of the connection")
	}
	return body, nil
}

func selectHeader(header http.Header) (selected http.Header) {
	selected = make(http.Header)
	for _, name := range forwardedHeaders {
		if values := header.Values(name); len(values) > 0 {
			selected[http.CanonicalHeaderKey(name)] = values
		}
	}
	return selected
}

// modelCall has the fields of an OpenAI-style body that affect routing.
type modelCall struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

// parseModel sets the service, the streaming mode and the demand of request from
// its body.
func parseModel(request *banyanplank.Request) (err error) {
	var call modelCall
	if err := json.Unmarshal(request.Body, &call); err != nil {
		return newInvalid("the request body is not valid JSON: " + err.Error())
	}
	if call.Model == "" {
		return newInvalid("the request body has no model")
	}
	maxTokens := DefaultMaxTokens
	for _, limit := range []*int{call.MaxTokens, call.MaxCompletionTokens} {
		if limit != nil {
			maxTokens = *limit
		}
	}
	if maxTokens <= 0 {
		return newInvalid(fmt.Sprintf("max_tokens is %d, want a positive number", maxTokens))
	}
	text := []byte(call.Messages)
	if len(text) == 0 {
		text = call.Prompt
	}
	service, adapter, _ := strings.Cut(call.Model, ":")
	request.Service = banyanplank.ServiceName(service)
	request.Stream = call.Stream
	request.Demand = banyanplank.Demand{
		PromptTokens:    len(text)/bytesPerToken + 1,
		MaxOutputTokens: maxTokens,
		PrefixHashes:    hashPrefixBlocks(text),
		Model:           service,
		Adapter:         adapter,
	}
	return nil
}

// hashPrefixBlocks returns for each complete block of the prompt the hash of the
// text up to its end.
func hashPrefixBlocks(text []byte) (hashes []uint64) {
	const block = banyanplank.PrefixBlock * bytesPerToken
	digest := xxhash.New()
	for len(text) >= block {
		_, _ = digest.Write(text[:block])
		hashes = append(hashes, digest.Sum64())
		text = text[block:]
	}
	return hashes
}

func newInvalid(detail string) error {
	return newRefusal(banyanplank.ReasonInvalid, detail)
}

// newRefusal returns a refusal of a request that was not forwarded.
func newRefusal(reason banyanplank.Reason, detail string) error {
	return &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: reason, Detail: detail}
}

// errBodyBudget means that a memory budget for request bodies is exhausted.
var errBodyBudget = errors.New("request body exceeds the memory budget")

// reservingReader grows the reservation by the number of bytes that it reads.
type reservingReader struct {
	reader      io.Reader
	reservation *holder.Reservation
}

// Read implements [io.Reader].
func (r *reservingReader) Read(buffer []byte) (n int, err error) {
	n, err = r.reader.Read(buffer)
	if !r.reservation.Grow(n) {
		return 0, errBodyBudget
	}
	return n, err
}
