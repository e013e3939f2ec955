package org.sardineport.bench.slope;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Plots the measured costs of one probe, with a line for each run.
 */
final class SlopePlot {

	private static final int WIDTH_PIXELS = 800;

	private static final int HEIGHT_PIXELS = 500;

	private SlopePlot() {
	}

	/**
	 * Writes the plot as a PNG file, which is named after the probe.
	 * @param result result of the measurement
	 * @param directory existing directory for the file
	 * @return the file
	 * @throws IOException if it could not be written
	 */
	static Path write(SlopeResult result, Path directory) throws IOException {
		SlopeProbe probe = result.probe();
		XYChart chart = new XYChartBuilder().width(WIDTH_PIXELS)
			.height(HEIGHT_PIXELS)
			.title(probe.name())
			.xAxisTitle(probe.sizeUnit())
			.yAxisTitle(probe.costUnit().label())
			.build();
		int run = 1;
		for (Map<Integer, Double> costs : result.runs()) {
			Map<Integer, Double> sorted = new TreeMap<>(costs);
			List<Integer> sizes = new ArrayList<>(sorted.keySet());
			chart.addSeries("run " + run++, sizes, new ArrayList<>(sorted.values()));
		}
		Path file = directory.resolve(probe.name() + ".png");
		BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
		return file;
	}

}
