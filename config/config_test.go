package config

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/spf13/pflag"
)

func TestValidateReportsEveryInvalidFlag(t *testing.T) {
	is := is.New(t)
	c := BindFlags(pflag.NewFlagSet("node", pflag.ContinueOnError))
	c.Listen = "localhost:80"
	c.MaxAttempts = 0
	c.DutyTTL = 3500 * time.Millisecond
	msg := c.Validate().Error()
	for _, want := range []string{"--node-id", "--region", "--failure-domain", "--listen", "--store", "--vm-list", "--max-attempts", "--duty-ttl"} {
		is.True(strings.Contains(msg, want)) // every invalid flag is named
	}
}

func TestFlagsOverrideEnvironment(t *testing.T) {
	is := is.New(t)
	fs := pflag.NewFlagSet("node", pflag.ContinueOnError)
	c := BindFlags(fs)
	t.Setenv("KNAPWEEDGW_NODE_ID", "from-env")
	t.Setenv("KNAPWEEDGW_REGION", "from-env")
	is.NoErr(fs.Parse([]string{"--region", "from-flag"}))
	is.NoErr(ApplyEnv(fs))
	is.Equal(c.NodeID, "from-env")
	is.Equal(c.Region, "from-flag")
}

func TestInvalidEnvironmentVariableIsNamed(t *testing.T) {
	is := is.New(t)
	fs := pflag.NewFlagSet("node", pflag.ContinueOnError)
	BindFlags(fs)
	t.Setenv("KNAPWEEDGW_MAX_ATTEMPTS", "many")
	err := ApplyEnv(fs)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "KNAPWEEDGW_MAX_ATTEMPTS"))
}
