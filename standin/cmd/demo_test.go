package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"anviltack/cli"
	"anviltack/standin/demo"
)

// The names under which the test binary runs as either program.
const (
	standinName   = "standin"
	anviltackName = "anviltack"
)

func TestMain(m *testing.M) {
	switch filepath.Base(os.Args[0]) {
	case standinName:
		main()
	case anviltackName:
		os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
	default:
		os.Exit(m.Run())
	}
}

// runDemo runs a site as processes of the test binary and fails on a violated
// guarantee.
func runDemo(t *testing.T, site string, scenarios ...demo.Scenario) {
	is := is.New(t)
	self, err := os.Executable()
	is.NoErr(err)
	directory := t.TempDir()
	programs := demo.Programs{
		Standin:   filepath.Join(directory, standinName),
		Anviltack: filepath.Join(directory, anviltackName),
	}
	t.Setenv("GORACE", "atexit_sleep_ms=0")
	is.NoErr(os.Symlink(self, programs.Standin))
	is.NoErr(os.Symlink(self, programs.Anviltack))
	var out bytes.Buffer
	report, err := demo.Run(t.Context(), demo.Options{
		Site:      demo.Sites[site],
		Programs:  programs,
		Duration:  4 * time.Second,
		Scenarios: scenarios,
		Writers:   3,
		Readers:   6,
	}, &out)
	is.NoErr(err)
	report.Print(&out)
	t.Log(out.String())
	is.Equal(report.Violations(), 0)
	is.True(report.Writes.Acknowledged > 0)
	is.True(report.ReadsPrimary+report.ReadsReplica > 0)
}

func TestIndexWithKilledPrimaryAndPlatformDown(t *testing.T) {
	runDemo(t, "index", demo.ScenarioKill, demo.ScenarioPlatformDown)
}

func TestIndexWithPausedPrimaryAndLag(t *testing.T) {
	runDemo(t, "index", demo.ScenarioPause, demo.ScenarioLag)
}

func TestBoardWithCrossedAnswersAndKilledInstance(t *testing.T) {
	runDemo(t, "board", demo.ScenarioCross, demo.ScenarioKillEntry)
}

func TestBoardWithMutedPrimaryAndDrain(t *testing.T) {
	runDemo(t, "board", demo.ScenarioMute, demo.ScenarioDrain)
}

func TestBoardWithPartedDataCentreAndLostAnswers(t *testing.T) {
	runDemo(t, "board", demo.ScenarioPartition, demo.ScenarioLoseAnswers)
}

func TestIndexWithFrozenPrimaryAndSilentConnections(t *testing.T) {
	runDemo(t, "index", demo.ScenarioFreeze, demo.ScenarioSilence)
}
