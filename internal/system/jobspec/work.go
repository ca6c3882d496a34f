package jobspec

import "time"

// milliCores is how many thousandths of a core a core has.
const milliCores = 1000

// Cores is what one task takes, in cores; a GPU counts as GPUCores of them.
func (s *Stage) Cores() float64 {
	return float64(s.CPU)/milliCores + float64(s.GPUs)*GPUCores
}

// Work is the estimated work of one task, in core-milliseconds.
func (s *Stage) Work() float64 {
	return s.Cores() * milliseconds(s.Estimated)
}

// Work is the estimated work of all tasks, at one time, in core-milliseconds.
func (s *Spec) Work() float64 {
	work := 0.0
	for index := range s.Stages {
		stage := &s.Stages[index]
		work += float64(stage.Count) * stage.Work()
	}
	return work
}

// CriticalPath is the estimated time of the longest chain of steps that wait for one another, one task of each.
func (s *Spec) CriticalPath() time.Duration {
	longest := time.Duration(0)
	for _, chain := range s.LongestPathsTo() {
		longest = max(longest, chain)
	}
	return longest
}

// LongestPathsTo gives for each step the longest chain that ends with it, its own estimate included.
func (s *Spec) LongestPathsTo() []time.Duration {
	chains := make([]time.Duration, len(s.Stages))
	for index := range s.Stages {
		stage := &s.Stages[index]
		before := time.Duration(0)
		for _, step := range stage.DependsOn {
			before = max(before, chains[step])
		}
		chains[index] = before + stage.Estimated
	}
	return chains
}

// LongestPathsFrom gives for each step the longest chain that begins with it, its own estimate included.
func (s *Spec) LongestPathsFrom() []time.Duration {
	chains := make([]time.Duration, len(s.Stages))
	for index := len(s.Stages) - 1; index >= 0; index-- {
		stage := &s.Stages[index]
		chains[index] += stage.Estimated
		for _, step := range stage.DependsOn {
			chains[step] = max(chains[step], chains[index])
		}
	}
	return chains
}
