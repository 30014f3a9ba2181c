package main

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Hangups that come while the settings are read again don't cost a stop.
func TestHangupsLeaveTheStop(t *testing.T) {
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
	case <-time.After(20 * time.Second): // no verdict depends on it
		t.Fatal("the stop is lost")
	}
	is.Equal(<-signals.reload, syscall.SIGHUP)
}
