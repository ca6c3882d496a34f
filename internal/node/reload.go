package node

import (
	"context"
	"log/slog"
	"os"
	"reflect"

	"gaugeslip/internal/config"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/operatorsettings"
)

// reload reads the configuration and our own settings again at each signal until ctx ends, and moves the watch if the
// discovery address has changed. An error in either file changes nothing.
func reload(ctx context.Context, cfg *config.Config, own *operatorsettings.Settings, f *Files, hup <-chan os.Signal, l *loop.Loop, shares *budgets) {
	discovery := cfg.Discovery
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		newer, err := config.Reload(os.Getenv, f.Config)
		var settings *operatorsettings.Settings
		if err == nil {
			settings, err = operatorsettings.Load(os.Getenv, f.Site)
		}
		if err != nil {
			slog.Error("configuration not reloaded, the old one stays in force", "error", err)
			continue
		}
		keys := cfg.KeysNeedingRestart(newer)
		if (settings.Waiting == nil) != (own.Waiting == nil) {
			keys = append(keys, "waiting")
		} else if settings.Waiting != nil {
			l.Post(dispatch.WaitingLimits{Limits: *settings.Waiting})
		}
		for _, x := range []struct {
			key      string
			now, own any
		}{{"overload", settings.Overload, own.Overload}, {"sites", settings.Sites, own.Sites}, {"budgets", settings.Budgets, own.Budgets}, {"peers", settings.Peers, own.Peers}} {
			if !reflect.DeepEqual(x.now, x.own) {
				keys = append(keys, x.key)
			}
		}
		if len(keys) > 0 {
			slog.Warn("changes take effect only after a restart", "keys", keys)
		}
		slog.Info("configuration reloaded", "discovery", newer.Discovery)
		if newer.Discovery != discovery {
			discovery = newer.Discovery
			moved := *cfg // keep all settings that need a restart
			moved.Discovery = discovery
			l.SetSource(hostSource(&moved, shares, false))
		}
	}
}
