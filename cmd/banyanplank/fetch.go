package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/transport/verifier"
)

const (
	// maxReplyBytes bounds the body of a daemon's reply.
	maxReplyBytes = 8 << 20
	// maxConcurrentFetches bounds the requests in flight of [fetchAll].
	maxConcurrentFetches = 16
)

// fetchResult is the decoded reply of one daemon, or the error.
type fetchResult[T any] struct {
	address netip.AddrPort
	reply   T
	err     error
}

// parseAddresses parses the addresses given to an option. It fails if there are
// none.
func parseAddresses(option string, texts []string) (addresses []netip.AddrPort, err error) {
	if len(texts) == 0 {
		return nil, newUsageError(option, "", "one or more addresses, such as 10.0.0.1:9000")
	}
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, newUsageError(option, text, "an IP address and a port, such as 10.0.0.1:9000 or [fd00::1]:9000")
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// fetchAll fetches a path from several daemons concurrently. The replies are in
// the order of the addresses.
func fetchAll[T any](ctx context.Context, addresses []netip.AddrPort, path, key string) (replies []fetchResult[T]) {
	mapper := iter.Mapper[netip.AddrPort, fetchResult[T]]{MaxGoroutines: maxConcurrentFetches}
	return mapper.Map(addresses, func(address *netip.AddrPort) fetchResult[T] {
		f := fetchResult[T]{address: *address}
		f.err = fetch(ctx, "http://"+address.String()+path, key, &f.reply)
		return f
	})
}

// daemonClient calls daemons.
var daemonClient = &http.Client{Transport: verifier.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// fetch gets a URL and decodes its JSON body into reply. A key that is not empty
// is sent as a bearer token. Any status other than 200 is an error.
func fetch(ctx context.Context, target, key string, reply any) (err error) {
	defer func() { err = errors.Wrapf(err, "get %s", target) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := daemonClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, reply)
}

// daemonProblem is the JSON form of a daemon's failure.
type daemonProblem struct {
	Address string `json:"address"`
	Message string `json:"message"`
}

// failedFetches returns a problem for each daemon that could not be fetched.
func failedFetches[T any](replies []fetchResult[T]) (problems []daemonProblem) {
	for _, f := range replies {
		if f.err != nil {
			problems = append(problems, daemonProblem{Address: f.address.String(), Message: f.err.Error()})
		}
	}
	return problems
}

// errIncomplete sets the exit code to 1 after a partial result was written.
var errIncomplete = errors.New("not all daemons answered as they should")

// formatRevision formats a revision, or - for none.
func formatRevision(revision banyanplank.Revision) (text string) {
	if revision == 0 {
		return "-"
	}
	return revision.String()
}
