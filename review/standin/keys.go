package main

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The keys of the case of revoked keys. No configuration ever holds the unknown one.
const (
	keptKey    = "kept-key-0001"
	unknownKey = "never-issued-9"
	// revokeTime is over revoke_ms and config_apply_ms of the users' sheets together.
	revokeTime = 8 * time.Second
)

func init() { cases["keys"] = playKeys }

// playKeys takes away the last key of the only tenant. Later than revokeTime after that,
// the rules CONFIG and ROUTE are broken by each request that runs.
func playKeys(ctx context.Context, h *harness, calm bool) (broken int, err error) {
	h.putConfig(1, false, keptKey)
	ctx, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	if _, err := h.startServer(ctx, "i-desk-1", "desk", 0, 0); err != nil {
		return 0, err
	}
	var entries []*process
	for _, name := range []string{"entry-1", "entry-2"} {
		entry, err := h.startEntry(name, 0)
		if err != nil {
			return 0, err
		}
		entries = append(entries, entry)
	}
	for _, entry := range entries {
		if err := h.awaitReady(ctx, entry); err != nil {
			return 0, err
		}
	}
	if err := banyanplank.Sleep(ctx, 2*time.Second); err != nil {
		return 0, err
	}
	for _, entry := range entries {
		kept, _, err := h.ask(ctx, entry, "/once/x", keptKey, 3*time.Second)
		if err != nil || kept != http.StatusOK {
			return 0, errors.Newf("with the key: status %d, %v", kept, err)
		}
		unknown, _, err := h.ask(ctx, entry, "/once/x", unknownKey, 3*time.Second)
		if err != nil || unknown != http.StatusUnauthorized {
			return 0, errors.Newf("with an unknown key: status %d, %v", unknown, err)
		}
	}
	mayRun := map[string]bool{keptKey: calm}
	if !calm {
		h.putConfig(4, false)
	}
	if err := banyanplank.Sleep(ctx, revokeTime); err != nil {
		return 0, err
	}
	for range 10 {
		for _, entry := range entries {
			for _, key := range []string{keptKey, unknownKey} {
				status, _, err := h.ask(ctx, entry, "/once/x", key, 3*time.Second)
				if err == nil && status == http.StatusOK && !mayRun[key] {
					broken++
					h.recordf("broken: %s had a request run with key %s", entry.name, key)
				}
			}
		}
	}
	return broken, nil
}
