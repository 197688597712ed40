package yuccacommand

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/yuccaturn/yuccaturn/platform"
)

const bootText = `nodeName=edge-x-1
ip=10.1.0.13
zone=x
portRange=7720,7735
seeds=10.1.0.13:8166
bounds.graceS=6
`

// An odd line that only a start reads, or an odd seed, kept the process from the new seeds.
func TestOddLineOfTheSettingsHidesTheSeeds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	t.Setenv("YUCCATURN_BOOT", path)
	settings, err := yuccaplatform.ParseSettings("boot", []byte(bootText))
	if err != nil {
		t.Fatal(err)
	}
	w := &settingsWatcher{settings: settings, logger: slog.New(slog.DiscardHandler)}
	for _, step := range []struct{ text, seeds string }{
		{strings.NewReplacer("graceS=6", "graceS=1e999", "seeds=", "seeds=10.2.0.30:8166,").Replace(bootText), "10.2.0.30:7720 10.1.0.13:7720"},
		{"odd", "10.2.0.30:7720 10.1.0.13:7720"},
		{strings.NewReplacer("portRange=7720,7735", "portRange=70000,70010", "seeds=", "seeds=10.3.0.1:99999,[[[,").Replace(bootText), "10.3.0.1:7720 10.1.0.13:7720"},
	} {
		if err := os.WriteFile(path, []byte(step.text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.modTime = w.modTime.AddDate(-1, 0, 0)
		w.reload()
		if got := strings.Join(w.get().MeshSeeds(), " "); got != step.seeds {
			t.Errorf("%.30q: seeds %q, want %q", step.text, got, step.seeds)
		}
	}
	if w.get().ShutdownGrace != settings.ShutdownGrace {
		t.Errorf("grace is %v", w.get().ShutdownGrace)
	}
}
