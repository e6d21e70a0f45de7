package placer

import (
	"math/bits"

	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const (
	// levels is the number of steps of free processors and of free memory. Four steps an octave
	// cover 0.25 to 16,384 cores and 0.25 to 16,384 GB.
	levels         = 64
	stepsPerOctave = 4
	millicoresUnit = 250
	memoryUnit     = 1 << 28
)

// grid indexes workers by free processors and free memory. A search visits at most one row mask
// for each level, whatever the number of workers.
type grid struct {
	cells [levels * levels][]*worker
	// masks has one bit for each cell of a row that is not empty.
	masks [levels]uint64
}

func (gr *grid) place(wr *worker) {
	cell := cellOf(wr.free)
	if wr.position >= 0 && wr.cell == cell {
		return
	}
	gr.remove(wr)
	wr.cell, wr.position = cell, len(gr.cells[cell])
	gr.cells[cell] = append(gr.cells[cell], wr)
	gr.masks[cell/levels] |= 1 << (cell % levels)
}

func (gr *grid) remove(wr *worker) {
	if wr.position < 0 {
		return
	}
	ws := gr.cells[wr.cell]
	last := len(ws) - 1
	ws[wr.position] = ws[last]
	ws[wr.position].position = wr.position
	ws[last] = nil
	gr.cells[wr.cell] = ws[:last]
	if last == 0 {
		gr.masks[wr.cell/levels] &^= 1 << (wr.cell % levels)
	}
	wr.position = -1
}

func cellOf(free supervisor.Resources) int {
	return level(free.Millicores, millicoresUnit)*levels + level(free.MemoryBytes, memoryUnit)
}

// level is the logarithmic step of an amount. Amounts below one unit are level 0.
func level(amount, unit int64) int {
	if amount < unit {
		return 0
	}
	octave := bits.Len64(uint64(amount/unit)) - 1
	fraction := (amount*stepsPerOctave/unit)>>octave - stepsPerOctave
	return min(1+octave*stepsPerOctave+int(fraction), levels-1)
}
