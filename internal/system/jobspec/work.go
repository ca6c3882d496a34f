package jobspec

import "time"

// milliCores is the number of thousandths in one core.
const milliCores = 1000

// Cores returns the CPU demand of one task in cores. A GPU counts as GPUCores cores.
func (s *Stage) Cores() float64 {
	return float64(s.CPU)/milliCores + float64(s.GPUs)*GPUCores
}

// Work returns the estimated work of one task in core-milliseconds.
func (s *Stage) Work() float64 {
	return s.Cores() * milliseconds(s.Estimated)
}

// Duration returns the estimated duration of a stage with all tasks at once: nothing if it has no tasks.
func (s *Stage) Duration() time.Duration {
	if s.Count == 0 {
		return 0
	}
	return s.Estimated
}

// Work returns the estimated work of all tasks of one occurrence in core-milliseconds.
func (s *Spec) Work() float64 {
	work := 0.0
	for index := range s.Stages {
		stage := &s.Stages[index]
		work += float64(stage.Count) * stage.Work()
	}
	return work
}

// CriticalPath returns the estimated duration of the longest chain of dependent stages, with one task of each.
func (s *Spec) CriticalPath() time.Duration {
	longest := time.Duration(0)
	for _, chain := range s.LongestPathsTo() {
		longest = max(longest, chain)
	}
	return longest
}

// LongestPathsTo returns, for each stage, the duration of the longest chain that ends with it, including its own estimate.
func (s *Spec) LongestPathsTo() []time.Duration {
	chains := make([]time.Duration, len(s.Stages))
	for index := range s.Stages {
		stage := &s.Stages[index]
		before := time.Duration(0)
		for _, step := range stage.DependsOn {
			before = max(before, chains[step])
		}
		chains[index] = before + stage.Duration()
	}
	return chains
}

// LongestPathsFrom returns, for each stage, the duration of the longest chain that begins with it, including its own estimate.
func (s *Spec) LongestPathsFrom() []time.Duration {
	chains := make([]time.Duration, len(s.Stages))
	for index := len(s.Stages) - 1; index >= 0; index-- {
		stage := &s.Stages[index]
		chains[index] += stage.Duration()
		for _, step := range stage.DependsOn {
			chains[step] = max(chains[step], chains[index])
		}
	}
	return chains
}
