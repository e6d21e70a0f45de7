package placer

import (
	"math/bits"

	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const (
	// gridLevels is the number of logarithmic levels of free processors (rows) and of free memory
	// (columns). With 4 levels per octave they cover 0.25 to 16,384 cores and 0.25 to 16,384 GB.
	gridLevels      = 64
	levelsPerOctave = 4
	// minLevelMillicores is the amount at which level 1 of free processors begins.
	minLevelMillicores = 250
	// minLevelBytes is the amount at which level 1 of free memory begins.
	minLevelBytes = 1 << 28
)

// grid indexes workers by free processors and free memory. A search reads at most one mask per row,
// independent of the number of workers.
type grid struct {
	cells [gridLevels * gridLevels][]*worker
	// masks has, for each row, one bit for each cell that is not empty.
	masks [gridLevels]uint64
}

// update inserts a worker, or moves it to the cell of its free capacity.
func (gr *grid) update(wr *worker) {
	cell := cellOf(wr.free)
	if wr.position >= 0 && wr.cell == cell {
		return
	}
	gr.remove(wr)
	wr.cell, wr.position = cell, len(gr.cells[cell])
	gr.cells[cell] = append(gr.cells[cell], wr)
	gr.masks[cell/gridLevels] |= 1 << (cell % gridLevels)
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
		gr.masks[wr.cell/gridLevels] &^= 1 << (wr.cell % gridLevels)
	}
	wr.position = -1
}

func cellOf(free supervisor.Resources) int {
	return level(free.Millicores, minLevelMillicores)*gridLevels + level(free.MemoryBytes, minLevelBytes)
}

// level returns the logarithmic level of an amount. Amounts below one unit are level 0.
func level(amount, unit int64) int {
	if amount < unit {
		return 0
	}
	octave := bits.Len64(uint64(amount/unit)) - 1
	fraction := (amount*levelsPerOctave/unit)>>octave - levelsPerOctave
	return min(1+octave*levelsPerOctave+int(fraction), gridLevels-1)
}
