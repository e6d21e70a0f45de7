package commander

import (
	"slices"
	"strings"
)

// diffLine is a line that only one of two documents has.
type diffLine struct {
	// Change is "-" for a line of the first document and "+" for one of the second.
	Change string
	// Line counts from 1 in its document.
	Line int
	Text string
}

// maxDiffCells bounds the memory for the comparison of the parts that differ. Larger parts are
// shown as replaced as a whole.
const maxDiffCells = 16 << 20

// diffLines returns the lines that differ, in order, along a longest common subsequence.
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

func diffMiddle(olds, news []string, offset int) []diffLine {
	wide := len(news) + 1
	var common []int32
	if (len(olds)+1)*wide <= maxDiffCells {
		common = commonLengths(olds, news)
	}
	var lns []diffLine
	oi, ni := 0, 0
	for oi < len(olds) || ni < len(news) {
		switch {
		case common != nil && oi < len(olds) && ni < len(news) && olds[oi] == news[ni]:
			oi++
			ni++
		case ni == len(news) || oi < len(olds) && (common == nil || common[(oi+1)*wide+ni] >= common[oi*wide+ni+1]):
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
// of what follows.
func commonLengths(olds, news []string) []int32 {
	wide := len(news) + 1
	common := make([]int32, (len(olds)+1)*wide)
	for oi, old := range slices.Backward(olds) {
		for ni, text := range slices.Backward(news) {
			if old == text {
				common[oi*wide+ni] = common[(oi+1)*wide+ni+1] + 1
				continue
			}
			common[oi*wide+ni] = max(common[(oi+1)*wide+ni], common[oi*wide+ni+1])
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
