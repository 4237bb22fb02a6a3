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
)

const (
	// maxFetched bounds the body of a daemon's reply in bytes.
	maxFetched = 8 << 20
	// maxFetches bounds the daemons asked at once.
	maxFetches = 16
)

// fetched is the reply of one daemon, or why there is none.
type fetched[T any] struct {
	address netip.AddrPort
	reply   T
	err     error
}

// parseAddresses reads the addresses that an option lists.
func parseAddresses(option string, texts []string) (addresses []netip.AddrPort, err error) {
	if len(texts) == 0 {
		return nil, usagef(option, "", "one or more addresses, such as 10.0.0.1:9000")
	}
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, usagef(option, text, "an IP address and a port, such as 10.0.0.1:9000 or [fd00::1]:9000")
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// fetchAll asks several daemons at once. The replies are in the order of the
// addresses.
func fetchAll[T any](ctx context.Context, addresses []netip.AddrPort, path, key string) (replies []fetched[T]) {
	mapper := iter.Mapper[netip.AddrPort, fetched[T]]{MaxGoroutines: maxFetches}
	return mapper.Map(addresses, func(address *netip.AddrPort) fetched[T] {
		f := fetched[T]{address: *address}
		f.err = fetch(ctx, "http://"+address.String()+path, key, &f.reply)
		return f
	})
}

// fetch reads JSON from a URL.
func fetch(ctx context.Context, target, key string, reply any) (err error) {
	defer func() { err = errors.Wrapf(err, "get %s", target) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxFetched))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, reply)
}

// problem is a daemon that did not answer as it should.
type problem struct {
	Address string `json:"address"`
	Message string `json:"message"`
}

// problemsOf returns the daemons without a reply.
func problemsOf[T any](replies []fetched[T]) (problems []problem) {
	for _, f := range replies {
		if f.err != nil {
			problems = append(problems, problem{Address: f.address.String(), Message: f.err.Error()})
		}
	}
	return problems
}

// errIncomplete makes the exit code 1 after a result was written.
var errIncomplete = errors.New("not all daemons answered as they should")

// revisionText writes a revision, or - for none.
func revisionText(revision banyanplank.Revision) (text string) {
	if revision == 0 {
		return "-"
	}
	return revision.String()
}
