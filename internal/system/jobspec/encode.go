package jobspec

import (
	"fmt"
	"time"

	"github.com/mailru/easyjson"
)

// Encode encodes the job in the form that Parse reads. Members that Parse skipped are not written.
func (s *Spec) Encode() ([]byte, error) {
	wire := wireSpec{
		Spec:        s.Text,
		Stages:      make([]wireStage, len(s.Stages)),
		Repetitions: float64(s.Repetitions),
		FirstRunMs:  milliseconds(s.FirstRun),
		IntervalMs:  milliseconds(s.Interval),
	}
	for index := range s.Stages {
		wire.Stages[index] = encodeStage(&s.Stages[index])
	}
	body, err := easyjson.Marshal(&wire)
	if err != nil {
		return nil, fmt.Errorf("job: %w", err)
	}
	return body, nil
}

func encodeStage(stage *Stage) wireStage {
	wire := wireStage{
		Count:        float64(stage.Count),
		CPU:          float64(stage.CPU),
		MemoryMb:     float64(stage.MemoryMb),
		GPUs:         float64(stage.GPUs),
		EstimatedMs:  milliseconds(stage.Estimated),
		Requirements: stage.Requirements,
		Colocation:   stage.Colocation,
		AntiAffinity: float64(stage.AntiAffinity),
		Checkpoints:  stage.Checkpoints,
		Gang:         stage.Gang,
		SameRack:     stage.SameRack,
		Speculative:  stage.Speculative,
		LongRunning:  stage.LongRunning,
	}
	for _, step := range stage.DependsOn {
		wire.DependsOn = append(wire.DependsOn, float64(step))
	}
	return wire
}

func milliseconds(duration time.Duration) float64 {
	whole, rest := duration/time.Millisecond, duration%time.Millisecond
	return float64(whole) + float64(rest)/float64(time.Millisecond)
}
