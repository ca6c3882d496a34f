package main

import (
	"fmt"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/spf13/cobra"

	"gaugeslip/internal/lab"
)

// watcher is the terminal view of a run. It shows hosts with their lanes and queues, dispatchers, and the service so far.
type watcher struct {
	run      *lab.Lab
	cmd      *cobra.Command
	name     string
	speed    float64
	elapsed  time.Duration
	view     *lab.View
	paused   bool
	finished bool
	err      error
	rows     int
}

// tick is the message that advances the view by one frame.
type tick struct{}

const frameInterval = 50 * time.Millisecond

func nextTick() tea.Cmd { return tea.Tick(frameInterval, func(time.Time) tea.Msg { return tick{} }) }

// Init implements tea.Model.
func (w *watcher) Init() tea.Cmd { return nextTick() }

// Update implements tea.Model. The space key pauses, + and - change the speed, q quits.
func (w *watcher) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case tea.WindowSizeMsg:
		w.rows = m.Height
	case tea.KeyPressMsg:
		switch m.String() {
		case "q", "ctrl+c", "esc":
			return w, tea.Quit
		case "space", " ":
			w.paused = !w.paused
		case "+", "=":
			w.speed *= 2
		case "-":
			w.speed /= 2
		}
	case tick:
		if !w.paused {
			w.step()
		}
		if w.finished {
			return w, tea.Quit
		}
		return w, nextTick()
	}
	return w, nil
}

// step advances the run by one frame at the current speed.
func (w *watcher) step() {
	w.elapsed += time.Duration(float64(frameInterval) * w.speed)
	w.finished, w.err = w.run.Advance(w.cmd.Context(), w.elapsed)
	w.view = w.run.View()
}

// View implements tea.Model.
func (w *watcher) View() tea.View { return tea.NewView(w.render()) }

// render returns the screen as text.
func (w *watcher) render() string {
	var b strings.Builder
	v := w.view
	if v == nil {
		return w.name + "\n"
	}
	fmt.Fprintf(&b, "%s  %6.1f s at %gx  service %.3f (last 5 s %s)  %d served, %d refused, %d failed, %d rules broken\n", w.name,
		v.At.Seconds(), w.speed, v.Service, formatShare(v.LastFiveSecs), v.Served, v.Refused, v.Failed, v.BrokenRules)
	fmt.Fprintf(&b, "lanes %d of %d busy, %d jobs wait at hosts; held by dispatchers:", v.FleetsBusy, v.FleetsLanes, v.FleetsWaiting)
	for i, n := range v.Open {
		if i == 20 {
			b.WriteString(" ...")
			break
		}
		if n < 0 {
			b.WriteString(" down")
			continue
		}
		fmt.Fprintf(&b, " %d", n)
	}
	b.WriteString("\n\n")
	most := len(v.Hosts)
	if w.rows > 6 {
		most = min(most, w.rows-6)
	}
	for _, h := range v.Hosts[:most] {
		fmt.Fprintf(&b, "%s  [%s%s] %-12s %s\n", h.Name, strings.Repeat("#", h.Busy), strings.Repeat(".", max(0, h.Lanes-h.Busy)),
			strings.Repeat("=", min(h.Waiting, 12)), h.State)
	}
	if most < len(v.Hosts) {
		fmt.Fprintf(&b, "and %d more\n", len(v.Hosts)-most)
	}
	b.WriteString("\nspace pauses, + and - change the speed, q ends\n")
	return b.String()
}

func formatShare(x float64) string {
	if x < 0 {
		return "none"
	}
	return fmt.Sprintf("%.3f", x)
}

func watchCommand() *cobra.Command {
	var seed uint64
	var speed float64
	c := &cobra.Command{Use: "watch SCENARIO.hcl", Short: "Watch a scenario in the terminal: hosts, queues, dispatchers, service",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			all, err := lab.Load(args[0])
			if err != nil {
				return err
			}
			if len(all) != 1 {
				return usageError{fmt.Errorf("watch: %s contains %d scenarios, want 1", args[0], len(all))}
			}
			run, err := lab.New(all[0], seed, true)
			if err != nil {
				return err
			}
			w := &watcher{run: run, cmd: cmd, name: all[0].Name, speed: speed}
			if _, err := tea.NewProgram(w, tea.WithContext(cmd.Context()), tea.WithOutput(cmd.OutOrStdout())).Run(); err != nil {
				return err
			}
			run.Report().Print(cmd.OutOrStdout())
			return w.err
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	c.Flags().Float64Var(&speed, "speed", 4, "speed, as a multiple of real time")
	return c
}
