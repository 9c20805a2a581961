//! Compares the fitted line with published results and with an independent calculation.

use pewtergap_capacity::fit;

/// Anscombe (1973), "Graphs in Statistical Analysis", first data set: the published line is 3 + 0.5 x.
#[test]
fn the_line_through_anscombes_points_is_the_one_that_he_prints() {
    let x = [10., 8., 13., 9., 11., 14., 6., 4., 12., 7., 5.];
    let y = [8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68];
    let points: Vec<[f64; 2]> = x.into_iter().zip(y).map(|(x, y)| [x, y]).collect();
    let line = fit(&points).expect("a line");
    assert!((line.intercept - 3.000_090_9).abs() < 1e-6, "{line:?}");
    assert!((line.gradient - 0.500_090_9).abs() < 1e-6, "{line:?}");
    // The published sum of squared residuals is 13.763 for 11 points.
    assert!((line.residual - (13.762_69f64 / 11.0).sqrt()).abs() < 1e-5, "{line:?}");
    // The third point has the largest error, 3.0001 + 0.5001 * 13 - 7.58, relative to the largest y, 10.84.
    assert!((line.max_relative_error - (9.501_272_7 - 7.58) / 10.84).abs() < 1e-6, "{line:?}");
}

/// Solves the normal equations in integers, without rounding.
#[test]
fn lines_through_drawn_points_are_those_of_the_normal_equations() {
    let mut state = 7u64;
    let mut random = |limit: u64| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        i128::from((state >> 33) % limit)
    };
    for _ in 0..200 {
        let points: Vec<(i128, i128)> =
            (0..5 + random(5)).map(|index| (index * 1_000 + random(900), random(1_000_000))).collect();
        let n = points.len() as i128;
        let sum = |of: &dyn Fn(&(i128, i128)) -> i128| points.iter().map(of).sum::<i128>();
        let (x, y) = (sum(&|p| p.0), sum(&|p| p.1));
        let (xx, xy) = (sum(&|p| p.0 * p.0), sum(&|p| p.0 * p.1));
        let denominator = n * xx - x * x;
        let gradient = (n * xy - x * y) as f64 / denominator as f64;
        let intercept = (y * xx - x * xy) as f64 / denominator as f64;
        let as_floats: Vec<[f64; 2]> = points.iter().map(|p| [p.0 as f64, p.1 as f64]).collect();
        let line = fit(&as_floats).expect("a line");
        assert!(
            (line.gradient - gradient).abs() <= 1e-9 * gradient.abs().max(1.0),
            "{line:?} for {gradient}"
        );
        assert!(
            (line.intercept - intercept).abs() <= 1e-9 * intercept.abs().max(1e3),
            "{line:?} for {intercept}"
        );
    }
}

#[test]
fn points_on_a_line_leave_no_residual_and_large_sizes_lose_no_digits() {
    let points: Vec<[f64; 2]> =
        (0..6).map(|index| 1e9 + f64::from(index)).map(|x| [x, 2.0 + 3.0 * x]).collect();
    let line = fit(&points).expect("a line");
    assert!((line.gradient - 3.0).abs() < 1e-6 && line.max_relative_error < 1e-9, "{line:?}");
    assert!((line.evaluate(1e9 + 10.0) - (2.0 + 3.0 * (1e9 + 10.0))).abs() < 1e-3, "{line:?}");
}

#[test]
fn no_line_goes_through_one_size_and_none_says_less_than_nothing() {
    assert_eq!(fit(&[]), None);
    assert_eq!(fit(&[[3.0, 1.0]]), None);
    assert_eq!(fit(&[[3.0, 1.0], [3.0, 2.0]]), None);
    let falling = fit(&[[1.0, 10.0], [2.0, 5.0]]).expect("a line");
    assert_eq!((falling.evaluate(2.0), falling.evaluate(100.0)), (5.0, 0.0));
}
