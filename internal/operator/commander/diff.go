package commander

import (
	"slices"
	"strings"
)

// diffLine is a removed or added line.
type diffLine struct {
	// Change is "-" for a line of the first document, "+" for a line of the second.
	Change string
	// Line is the line number in its document, from 1.
	Line int
	Text string
}

// maxDiffCells bounds the table of the comparison, 4 bytes a cell. If the differing parts need a
// larger one, they are shown as replaced as a whole.
const maxDiffCells = 16 << 20

// diffLines returns the lines that are not part of a longest common subsequence, in order.
func diffLines(before, after string) []diffLine {
	olds, news := lines(before), lines(after)
	first := 0
	for first < len(olds) && first < len(news) && olds[first] == news[first] {
		first++
	}
	endOld, endNew := len(olds), len(news)
	for endOld > first && endNew > first && olds[endOld-1] == news[endNew-1] {
		endOld--
		endNew--
	}
	return diffMiddle(olds[first:endOld], news[first:endNew], first)
}

// diffMiddle compares the lines between the common start and end. The offset is the number of lines
// in the common start.
func diffMiddle(olds, news []string, offset int) []diffLine {
	columns := len(news) + 1
	var common []int32
	if (len(olds)+1)*columns <= maxDiffCells {
		common = commonLengths(olds, news)
	}
	var lns []diffLine
	oi, ni := 0, 0
	for oi < len(olds) || ni < len(news) {
		switch {
		case common != nil && oi < len(olds) && ni < len(news) && olds[oi] == news[ni]:
			oi++
			ni++
		case ni == len(news) || oi < len(olds) && (common == nil || common[(oi+1)*columns+ni] >= common[oi*columns+ni+1]):
			lns = append(lns, diffLine{"-", offset + oi + 1, olds[oi]})
			oi++
		default:
			lns = append(lns, diffLine{"+", offset + ni + 1, news[ni]})
			ni++
		}
	}
	return lns
}

// commonLengths returns, for each pair of positions, the length of the longest common subsequence
// of the lines from these positions on. The table has len(news)+1 columns.
func commonLengths(olds, news []string) []int32 {
	columns := len(news) + 1
	common := make([]int32, (len(olds)+1)*columns)
	for oi, old := range slices.Backward(olds) {
		for ni, text := range slices.Backward(news) {
			if old == text {
				common[oi*columns+ni] = common[(oi+1)*columns+ni+1] + 1
				continue
			}
			common[oi*columns+ni] = max(common[(oi+1)*columns+ni], common[oi*columns+ni+1])
		}
	}
	return common
}

func lines(text string) []string {
	text = strings.TrimSuffix(strings.ReplaceAll(text, "\r\n", "\n"), "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}
