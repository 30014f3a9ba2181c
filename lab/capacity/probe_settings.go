package capacity

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/knapweedgw/knapweedgw/settings"
)

// The quantities of the settings that each node holds.
const (
	SettingsMemory Quantity = "settings_memory"
	SettingsCPU    Quantity = "settings_apply_cpu"
	SettingsBytes  Quantity = "settings_document_bytes"
)

// workspacesPerTeam is today's number, taken for the target as well.
const workspacesPerTeam = 10

// Settings measures the settings snapshot by the number of workspaces.
type Settings struct{}

// Name implements Probe.
func (Settings) Name() string { return "settings" }

// Measure implements Probe.
func (Settings) Measure(context.Context) ([]Slope, error) {
	sizes := []int{480, 1200, 2400, 4800}
	memory, err := sweep(SettingsMemory, "workspaces", "B", sizes, func(n int) (float64, error) {
		return heapOf(func() *settings.Snapshot { return settings.NewSnapshot(1, teams(n)) }), nil
	})
	if err != nil {
		return nil, err
	}
	cpu, err := sweep(SettingsCPU, "workspaces", "ns", sizes, func(n int) (float64, error) {
		docs := teams(n)
		return perOp(cpuSample, func() { settings.NewSnapshot(1, docs) }), nil
	})
	if err != nil {
		return nil, err
	}
	size, err := sweep(SettingsBytes, "workspaces", "B", sizes, func(n int) (float64, error) {
		total := 0
		for _, doc := range teams(n) {
			raw, err := json.Marshal(doc)
			if err != nil {
				return 0, err
			}
			total += len(raw)
		}
		return float64(total), nil
	})
	return []Slope{memory, cpu, size}, err
}

func teams(workspaces int) map[string]settings.Team {
	out := make(map[string]settings.Team)
	for i := range workspaces {
		name := fmt.Sprintf("team-%d", i/workspacesPerTeam)
		t, ok := out[name]
		if !ok {
			t = settings.Team{Workspaces: make(map[string]settings.Workspace)}
			out[name] = t
		}
		t.Workspaces[fmt.Sprintf("workspace-%d", i)] = settings.Workspace{
			KeysSHA256: []string{settings.KeyDigest(fmt.Sprintf("key-%d", i))},
		}
	}
	return out
}
