/**
 * Reports for operators: error budget burn rates as text, JSON and HTML.
 */
package org.wisteriapost.operator.report;
