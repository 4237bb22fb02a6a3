package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"

	"github.com/banyanplank/banyanplank/daemon"
	"github.com/banyanplank/banyanplank/state/loader"
)

// The environment variables that make the test binary a process to measure.
const (
	// childSettings names the settings file of a daemon.
	childSettings = "BANYANPLANK_TEST_SETTINGS"
	// childPlain is the address at which to serve the plain way, and
	// childTarget the endpoint behind it.
	childPlain  = "BANYANPLANK_TEST_PLAIN"
	childTarget = "BANYANPLANK_TEST_TARGET"
)

// TestMain runs the tests, or what the environment asks for in their place.
func TestMain(m *testing.M) {
	switch {
	case os.Getenv(childSettings) != "":
		exit(runDaemon(os.Getenv(childSettings)))
	case os.Getenv(childPlain) != "":
		exit(http.ListenAndServe(os.Getenv(childPlain), plainWay(os.Getenv(childTarget))))
	default:
		os.Exit(m.Run())
	}
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func runDaemon(file string) (err error) {
	settings, err := loader.Load(file)
	if err != nil {
		return err
	}
	d, err := daemon.New(settings, daemon.WithLog(os.Stderr))
	if err != nil {
		return err
	}
	return d.Run(context.Background())
}

// plainBuffer is the fixed buffer of each stream in the plain way.
const plainBuffer = 32 << 10

// plainWay copies answers through a fixed buffer, so that a slow reader presses
// back on the endpoint. It is what the held answers are measured against.
func plainWay(target string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		outgoing, err := http.NewRequestWithContext(request.Context(), request.Method, target+request.URL.Path, request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		response, err := client.Do(outgoing)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		control := http.NewResponseController(w)
		buffer := make([]byte, plainBuffer)
		for {
			n, err := response.Body.Read(buffer)
			if _, failed := w.Write(buffer[:n]); failed != nil {
				panic(http.ErrAbortHandler)
			}
			_ = control.Flush()
			if err == io.EOF {
				return
			}
			if err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	})
}
