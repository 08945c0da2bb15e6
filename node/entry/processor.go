package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/every"
	"mimosaarch.example/core/processor"
)

const (
	// processorSampleInterval is the time between two samples of the wait for the processor.
	processorSampleInterval = 100 * time.Millisecond
	// processorReportInterval is the time between two reports on the processor.
	processorReportInterval = time.Second
	// loggedProcessorWait is the longest wait in a report from which on it is logged.
	loggedProcessorWait = 50 * time.Millisecond
	// maxLoggedDuties bounds the duties in a line.
	maxLoggedDuties = 6
)

// watchProcessor measures what the processor is used for until ctx ends, and logs it while work
// waits long.
func (n *Node) watchProcessor(ctx context.Context) {
	samples := int(processorReportInterval / processorSampleInterval)
	taken := 0
	every.Do(ctx, processorSampleInterval, func() {
		n.processor.Sample()
		if taken++; taken < samples {
			return
		}
		taken = 0
		if r := n.processor.Report(); r.LongestWait >= loggedProcessorWait {
			n.logProcessor(r)
		}
	})
}

// logProcessor logs a report.
func (n *Node) logProcessor(r processor.Report) {
	duties := zerolog.Arr()
	for _, u := range r.Duties[:min(len(r.Duties), maxLoggedDuties)] {
		duties.Dict(zerolog.Dict().Str("duty", u.Duty).Int("calls", u.Calls).Dur("ms", u.Time))
	}
	n.log.Info().Str("event", "processor_busy").Dur("longest_wait_ms", r.LongestWait).Dur("mean_wait_ms", r.MeanWait).
		Dur("elapsed_ms", r.Elapsed).Dur("used_ms", r.Used).Int64("active", n.server.Active()).Array("duties", duties).Send()
}
