package jobspec

import (
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

//go:generate easyjson -no_std_marshalers wire.go

// wireSpec is the job as clients write it: figures with or without a fraction, nothing checked.
//
//easyjson:json
type wireSpec struct {
	Spec        string      `json:"spec,omitempty"`
	Stages      []wireStage `json:"stages,omitempty"`
	Repetitions float64     `json:"repetitions,omitempty"`
	FirstRunMs  float64     `json:"firstRunMs,omitempty"`
	IntervalMs  float64     `json:"intervalMs,omitempty"`
	// LongRunning counts for all steps; a step may have it for itself.
	LongRunning bool `json:"longRunning,omitempty"`
}

//easyjson:json
type wireStage struct {
	Count        float64    `json:"count,omitempty"`
	CPU          float64    `json:"cpu,omitempty"`
	MemoryMb     float64    `json:"memMb,omitempty"`
	GPUs         float64    `json:"gpus,omitempty"`
	EstimatedMs  float64    `json:"estimatedMs,omitempty"`
	DependsOn    []float64  `json:"dependsOn,omitempty"`
	Requirements wireLabels `json:"requirements,omitempty"`
	Colocation   string     `json:"colocation,omitempty"`
	AntiAffinity float64    `json:"antiAffinity,omitempty"`
	Checkpoints  bool       `json:"checkpoints,omitempty"`
	Gang         bool       `json:"gang,omitempty"`
	SameRack     bool       `json:"sameRack,omitempty"`
	Speculative  bool       `json:"speculative,omitempty"`
	LongRunning  bool       `json:"longRunning,omitempty"`
}

// wireLabels is one label or a list of them. Empty labels ask for nothing and are left out.
type wireLabels []string

// UnmarshalEasyJSON reads a text or a list of texts.
func (l *wireLabels) UnmarshalEasyJSON(in *jlexer.Lexer) {
	*l = nil
	if !in.IsDelim('[') {
		l.add(in.String())
		return
	}
	in.Delim('[')
	for !in.IsDelim(']') {
		l.add(in.String())
		in.WantComma()
	}
	in.Delim(']')
}

// MarshalEasyJSON writes one label as a text and several as a list.
func (l wireLabels) MarshalEasyJSON(out *jwriter.Writer) {
	if len(l) == 1 {
		out.String(l[0])
		return
	}
	out.RawByte('[')
	for index, label := range l {
		if index > 0 {
			out.RawByte(',')
		}
		out.String(label)
	}
	out.RawByte(']')
}

// IsDefined says that there is a label to be written.
func (l wireLabels) IsDefined() bool { return len(l) > 0 }

func (l *wireLabels) add(label string) {
	if label != "" {
		*l = append(*l, label)
	}
}
