/** Bar charts as SVG: one group of bars for each row. */

/** A bar's series, named in the legend. */
export interface Series {
  readonly name: string;
  readonly colour: string;
}

/** One group of bars; a value that is not finite is drawn to the end and marked. */
export interface BarGroup {
  readonly label: string;
  readonly values: readonly number[];
}

/** What a chart shows. */
export interface BarChart {
  readonly title: string;
  readonly unit: string;
  readonly series: readonly Series[];
  readonly groups: readonly BarGroup[];
  /** The value at the right end. */
  readonly maximum: number;
}

const layout = { width: 760, left: 150, right: 70, top: 60, bar: 14, gap: 10 } as const;

const escapeText = (text: string): string => text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");

const textAt = (x: number, y: number, text: string, anchor = "start"): string =>
  `<text x="${x}" y="${y}" text-anchor="${anchor}">${escapeText(text)}</text>`;

const drawBar = (chart: BarChart, value: number, y: number, colour: string): string => {
  const room = layout.width - layout.left - layout.right;
  const part = Number.isFinite(value) ? Math.min(1, value / chart.maximum) : 1;
  const length = Math.max(1, Math.round(part * room));
  const label = Number.isFinite(value) ? `${value.toFixed(value < 10 ? 1 : 0)} ${chart.unit}` : "unbounded";
  const box = `<rect x="${layout.left}" y="${y}" width="${length}" height="${layout.bar - 2}" fill="${colour}"/>`;
  return box + textAt(layout.left + length + 4, y + layout.bar - 4, label);
};

const drawGroup = (chart: BarChart, { label, values }: BarGroup, top: number): string => {
  const middle = top + (values.length * layout.bar) / 2 + 4;
  const bars = values.map((value, index) =>
    drawBar(chart, value, top + index * layout.bar, chart.series[index]?.colour ?? "grey"),
  );
  return [textAt(layout.left - 8, middle, label, "end"), ...bars].join("\n");
};

const drawLegend = (series: readonly Series[]): string =>
  series
    .map(({ name, colour }, index) => {
      const x = layout.left + index * 130;
      return `<rect x="${x}" y="34" width="10" height="10" fill="${colour}"/>${textAt(x + 14, 43, name)}`;
    })
    .join("\n");

/** Draws a chart. */
export const drawBarChart = (chart: BarChart): string => {
  const groupHeight = chart.series.length * layout.bar + layout.gap;
  const height = layout.top + chart.groups.length * groupHeight;
  const groups = chart.groups.map((group, index) =>
    drawGroup(chart, group, layout.top + index * groupHeight),
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${layout.width}" height="${height}" font-family="sans-serif" font-size="11">`,
    `<rect width="100%" height="100%" fill="white"/>`,
    `<text x="12" y="20" font-size="14">${escapeText(chart.title)}</text>`,
    drawLegend(chart.series),
    ...groups,
    "</svg>",
    "",
  ].join("\n");
};
