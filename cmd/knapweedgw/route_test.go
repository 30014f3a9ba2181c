package main

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// SIGHUPs that arrive during a reload must not cause a following SIGTERM to be dropped.
func TestRepeatedSIGHUPDoesNotDropSIGTERM(t *testing.T) {
	is := is.New(t)
	signals := notifySignals()
	defer signal.Stop(signals.stop)
	defer signal.Stop(signals.reload)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		is.NoErr(syscall.Kill(os.Getpid(), s))
	}
	select {
	case s := <-signals.stop:
		is.Equal(s, syscall.SIGTERM)
	case <-time.After(20 * time.Second): // only bounds the time of a failing test
		t.Fatal("SIGTERM was dropped")
	}
	is.Equal(<-signals.reload, syscall.SIGHUP)
}
